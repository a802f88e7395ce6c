// Package duty holds the duties of the platform that one instance at a time carries out, and makes their calls.
//
// A Holder holds one duty while it can: it executes the actions of pkg/duty's Elector with calls to the store. It owns
// the elector, guarded by its lock, which is not held during a call. A Caller shares the accepted rate of calls
// between the duties of this instance. The package imports internal/feed, internal/steady, pkg/duty and pkg/timeline.
package duty
