// Package feed keeps an instance's copy of the platform's store.
//
// A Replicator owns the copy, guarded by its lock. It reads the store's prefixes and watches for changes, or gets
// them from the messages of the instances that read the store for all; what these only announce, or what was missed,
// it fetches from other instances. A Membership lists those, and a Presence registers this instance's address for
// them. In reading order: replicator.go, broadcast.go and send.go, catch_up.go, repeat.go, full_read.go, outage.go,
// era.go. The package imports internal/difference and pkg/timeline only.
package feed
