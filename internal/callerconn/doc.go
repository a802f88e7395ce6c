// Package callerconn serves HTTP on callers' connections, tracks what each connection is doing, and
// reports requests that end without an answer.
//
// A Server owns its connections; Server.mu guards the set of them and conn.mu the state of each. The
// package imports the standard library only.
package callerconn
