// Package gossip carries what instances tell each other without waiting for an answer.
//
// A Socket sends and takes datagrams, which may be lost: whoever uses it repeats what matters
// and lets what is not renewed expire. Loads tells what an instance has in progress at each
// target. The package imports pkg/booking and pkg/engine only.
package gossip
