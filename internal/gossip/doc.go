// Package gossip exchanges one-way messages between instances.
//
// A Socket sends and receives datagrams, which may be lost: senders repeat what matters, and
// receivers expire what is not renewed. A ProgressExchange broadcasts what an instance has in
// progress at each target, at a rate that a pacer lowers while datagrams wait long in the instance's
// own link. The package imports pkg/booking and pkg/engine only.
package gossip
