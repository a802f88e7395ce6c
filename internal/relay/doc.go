// Package relay is the entry instance for routed requests: it passes them to targets byte for byte.
//
// The path of a request: serve.go (route, key, body), then call.go for whole answers or
// stream.go for event streams, attempt.go (one sending to one target), conn.go and
// conns.go (the connection), answer.go (to the caller).
//
// Decisions are those of pkg/route, pkg/engine, pkg/generation and pkg/booking. A
// Targets owns what is known of the targets, a lock for each pool; a connPool owns idle
// connections, under its lock. What a platform's messages look like is known to the Codec only.
package relay
