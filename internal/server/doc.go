// Package server implements the entry instance, which accepts callers' requests and forwards them to targets.
//
// A model request passes through http.go (decoding and keys), admission.go (limits), stream.go
// (the loop over the decisions of pkg/generation), attempt.go (one connection to
// an engine), resumes.go (pacing of resumes), route.go (choice of target) and
// writer.go (events to the caller). Calls to services start in call.go.
// Each stream is owned by its loop goroutine; the outbox between the loop and
// the writer has its own lock. Components share state through the blackboard.
package server
