// Package admission decides whether a request of a pool proceeds, waits or is refused while the pool's room is short.
//
// A Controller holds the waiting requests of one instance for one pool, in the order of priority, then fair share between
// workspaces and their size classes, then age. It knows the other instances only by their arrivals and by the requests
// that all of them run, both of which its owner states. The owner guards a Controller with a lock of its own. The package
// imports pkg/workspace, which orders the waiting requests, and no other package of the project.
package admission
