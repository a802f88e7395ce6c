package relay

import (
	"net/http"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// RequestInfo holds what a caller's headers state.
type RequestInfo struct {
	// ID is unique for each time the caller sends a request.
	ID string
	// APIKey is the caller's API key, or empty.
	APIKey string
	// Timeout is how long the caller waits, or 0 if it does not say.
	Timeout time.Duration
	// LastEventID is the last event that the caller has received, if Resuming is set.
	LastEventID uint64
	Resuming    bool
	// PromptTokens and OutputTokens are the size of a generation, or 0.
	PromptTokens int
	OutputTokens int
	// OutputHint is the caller's estimate of the output tokens, or 0.
	OutputHint int
	// PromptParts are the parts of the prompt, in order; prompts of different callers share parts.
	PromptParts []PromptPart
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// AttemptInfo holds what an instance adds to one attempt at a target.
type AttemptInfo struct {
	// ExpectedIncarnation names the incarnation that may run the request.
	ExpectedIncarnation string
	Workspace           string
	// Remaining is how long the instance waits for the response.
	Remaining time.Duration
	// Urgency ranks the request at an engine, 0 first; it is sent only if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// LastEventID is the last event that was delivered, if Resuming is set.
	LastEventID uint64
	Resuming    bool
	// BackupEngine is the engine that receives copies of the run's KV cache while it grows.
	BackupEngine netip.AddrPort
	// CopyEngine is the engine that holds a copy of the run's KV cache for use by this attempt.
	CopyEngine netip.AddrPort
	// RequestID is the id under which the copy was made.
	RequestID string
}

// ResponseInfo holds what a target's headers state.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to, or empty.
	RequestID string
	// Sealed reports whether the response carries the target's proof of origin.
	Sealed bool
	// Incarnation names the target that responded, if it is given.
	Incarnation string
	// NotRun reports whether the target states that it did not run the request.
	NotRun bool
	// ContentEncoded reports whether the body is encoded and so not the target's own.
	ContentEncoded bool
	// Load is the target's load, if it is given.
	Load *engine.Load
	// Slowness is the time that work takes on the target's machine now, relative to the usual time, or 0 if the target
	// does not say.
	Slowness float64
	// KeepAlive is how long the target keeps an idle connection, or 0 if it does not say.
	KeepAlive time.Duration
	// Leaving reports whether the target states that it is leaving.
	Leaving bool
	// Backoff is how long a target that refused wants no further requests from this instance, or 0 if it
	// does not say.
	Backoff time.Duration
	// Limit is the number of requests a second that the target takes from all instances together, if Limited
	// is set. LimitUnknown is set if the target states one that can't be read.
	Limit        float64
	Limited      bool
	LimitUnknown bool
	// Tolerance is the number of requests that the target can refuse within a second, if Brittle is set: it falls over
	// when it has to refuse more. BrittleUnknown is set if the target states one that can't be read.
	Tolerance      float64
	Brittle        bool
	BrittleUnknown bool
	// Unreadable names the first header whose value can't be read, or is empty.
	Unreadable string
	// UnreadableValue is the value of that header.
	UnreadableValue string
}

// HeaderCodec translates between a platform's headers and the types above.
type HeaderCodec interface {
	// ParseRequest reads a caller's headers.
	ParseRequest(r *http.Request) RequestInfo
	// StripRequestHeaders removes what must not reach a target, and the key if stripKey is set.
	StripRequestHeaders(h http.Header, stripKey bool)
	// SetAttemptHeaders sets the headers of one attempt.
	SetAttemptHeaders(h http.Header, info AttemptInfo)
	// ParseResponse reads a target's headers.
	ParseResponse(now time.Time, res *http.Response) ResponseInfo
	// SetOwnHeaders sets the headers of a response that the instance itself generates.
	SetOwnHeaders(h http.Header, id string)
}
