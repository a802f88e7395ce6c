// Package callerconn serves HTTP on callers' connections and closes them without losing a request.
//
// It tracks what each connection is doing, closes a connection between requests only if neither the
// process nor the kernel holds a part of the next one, and reports requests that end without an
// answer. Up to three bytes that net/http reads together with the request before are not noticed. An
// HTTPServer owns its connections; HTTPServer.mu guards the set of them and conn.mu the state of each.
package callerconn
