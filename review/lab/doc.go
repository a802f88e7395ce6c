// Package lab runs small deployments of the entry instance for the cases of the review.
//
// The entry instances are separate processes of target/bambooferryd. The store, the targets and the callers are
// stand-ins in the process of the case. All addresses are loopback addresses.
package lab
