// Package relay implements the entry instance for routed requests: it proxies them to targets byte
// for byte.
//
// A request passes through serve.go (route, key, body), then call.go for complete responses or
// stream.go for event streams, attempt.go (one attempt at one target), conn.go and connpool.go (the
// connection), and response.go (the response to the caller).
//
// Decisions are made by pkg/route, pkg/engine, pkg/generation, pkg/booking and pkg/version; demand.go collects the inputs
// of pkg/scaling. A TargetRegistry
// owns the state of the targets, with a lock for each pool; a connPool owns idle connections, under
// its lock. Only the HeaderCodec knows a platform's headers.
package relay
