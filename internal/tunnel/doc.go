// Package tunnel carries connections to targets for other instances.
//
// A Dialer opens a connection to a target through another instance's Server. It states in one line who it is and
// which target it wants, by name: the server connects only listed instances, and only to targets that it knows
// itself. From the server's response of one byte on, the connection carries the bytes of the caller's instance as
// they are, and those of the target in frames, since the end of a target's bytes may be the end of its answer: a
// carrier that fails must not look like it.
//
// Each tunnel belongs to two goroutines of the server; of this module the package imports only socket.
package tunnel
