// Command stand runs the cases of the second review against processes of bambooferryd.
//
// It is the platform, the engines and the callers of a small deployment: a store, targets that can crash, and callers that
// record what they sent and what they got. Each case checks one rule and exits with 1 if it was broken, 0 if it held and 2 if
// the case could not run.
package main
