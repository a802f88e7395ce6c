// Package feed keeps an instance's copy of what the platform's store holds.
//
// A Follower owns the copy, guarded by its lock. It reads the store's prefixes, waits for
// changes and, while the store does not answer, asks other instances for a later copy.
// A Presence tells other instances where this one is. The package imports internal/peer
// and pkg/timeline only.
package feed
