// Package peer implements calls between entry instances over net/rpc.
//
// A Network owns its connections, guarded by one lock: one outgoing link for each peer
// that was called recently, and the inbound connections that peers opened. An Identity
// owns the keys that secure links, guarded by its own lock. The package imports no other
// package of this project.
package peer
