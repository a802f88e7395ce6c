package relay

import (
	"net/http"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// Request is what a caller's headers say.
type Request struct {
	// ID is unique for each sending by the caller.
	ID string
	// Key is the caller's API key, or empty.
	Key string
	// Patience is how long the caller waits, or 0 if it does not say.
	Patience time.Duration
	// After is the last event that the caller has, if Resumes is set.
	After   uint64
	Resumes bool
	// PromptTokens and OutputTokens are the size of a generation, or 0.
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt, in order; callers share parts.
	Parts []Part
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Attempt is what an instance adds to one sending of a request to a target.
type Attempt struct {
	// Expect names the incarnation that may run the request.
	Expect    string
	Workspace string
	// Left is how long the answer is waited for.
	Left time.Duration
	// Urgency ranks the request at an engine, 0 first; it is sent only if Ranked is set.
	Urgency int
	Ranked  bool
	// After is the last event that was delivered, if Resumes is set.
	After   uint64
	Resumes bool
	// Backup is the engine that gets copies of the run's memory while it grows.
	Backup netip.AddrPort
	// Copy is the engine that holds a copy of the run's memory, to be used by this attempt.
	Copy netip.AddrPort
	// RequestID is the id under which the copy was made.
	RequestID string
}

// Answer is what a target's headers say.
type Answer struct {
	// RequestID is the id of the request that is answered, or empty.
	RequestID string
	// Sealed tells that the answer carries the target's proof of origin.
	Sealed bool
	// Incarnation names the target that answers, if it says so.
	Incarnation string
	// NotRun tells that the target states that it did not run the request.
	NotRun bool
	// Encoded tells that the body is not the target's own.
	Encoded bool
	// Load is the target's load, if it tells it.
	Load *engine.Load
	// KeepAlive is how long the target keeps an idle connection, or 0 if it does not say.
	KeepAlive time.Duration
}

// Codec translates between a platform's headers and the types above.
type Codec interface {
	// Request reads a caller's headers.
	Request(r *http.Request) Request
	// Forward removes what must not reach a target, and the key if strip is set.
	Forward(h http.Header, strip bool)
	// Attempt sets the headers of one sending.
	Attempt(h http.Header, a Attempt)
	// Answer reads a target's headers.
	Answer(now time.Time, res *http.Response) Answer
	// Own sets the headers of an answer that the instance itself gives.
	Own(h http.Header, id string)
}
