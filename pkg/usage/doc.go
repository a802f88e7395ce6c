// Package usage counts the requests of workspaces in windows of true time and decides which reports on them are
// recorded and sent.
//
// A Counter holds the totals of one instance and a Collector those of all. A ClockEstimate holds the offset of true time.
// A Planner decides what the reporting instance reads, writes and sends, so that no two different reports of one window
// can be sent. Each type is guarded by its owner's lock. The package uses no clock and makes no calls; it imports
// pkg/duty only. All times but those named true are on a scale that never jumps and counts suspended time.
package usage
