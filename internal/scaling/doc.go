// Package scaling orders the number of targets of each pool while this instance holds the duty.
//
// A Scaler owns the plans of pkg/scaling, guarded by its lock, which is not held during a call. One goroutine records what
// is known and decides at an even distance, another one makes the calls one after another. The package imports
// internal/duty, pkg/duty, pkg/scaling and pkg/timeline.
package scaling
