// Package usage counts the requests of workspaces at this instance and, while the instance holds the duty, reports those of
// all instances to the platform.
//
// A Reporter executes the decisions of pkg/usage. Its counters are divided into shards, each with a lock of its own; its
// other state is guarded by its lock, which is not held during calls. Counts pass through exchange.go, and the
// reports of the holder through planning.go. The package imports internal/duty, internal/feed, pkg/duty, pkg/timeline and
// pkg/usage.
package usage
