// Package booking implements at-most-once calls: claims, tickets, crash marks and retry budgets.
//
// A Shard is the decoded content of one value of the key-value service, a ShardWriter batches the
// writes to it, and a ClaimedCall tracks one claimed call at its claimant. Each value is owned by
// one goroutine or guarded by its owner's lock; the package has no lock, clock or random source. It
// imports no other package of this module.
package booking
