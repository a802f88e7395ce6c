// Package feed keeps an instance's copy of the platform's store.
//
// A Replicator owns the copy, guarded by its lock. It reads the store's prefixes, watches for
// changes and, while the store does not respond, asks other instances for a newer copy. A Presence
// registers this instance's address for the others. The package imports internal/difference and
// pkg/timeline only.
package feed
