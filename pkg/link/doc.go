// Package link decides over which path an instance connects to its targets: directly, or through another
// instance that carries the connection.
//
// Paths holds what an instance knows about its own links, Carriers what it knows about the other instances. Both
// are decisions only: evidence and the present time go in, a plan or a carrier comes out. Their owner guards them.
// The package imports nothing of this module.
package link
