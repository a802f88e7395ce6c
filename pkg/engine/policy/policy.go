package policy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Candidate is a target that has a free slot, with the data that a choice is based on.
type Candidate struct {
	Name string
	// Load is the estimated number of requests at the target, Slots the number it can run at once.
	Load  float64
	Slots int
	// Pending is the number of those requests that are known to have no output yet.
	Pending int
	// QueueWait is the estimated time until the target starts new work.
	QueueWait time.Duration
	// CachedShare is the expected share of the prompt that the target has cached, from 0 to 1.
	CachedShare float64
	// PrefillTime is the estimated prefill time of the whole prompt without cached blocks.
	PrefillTime time.Duration
	// RoundTrip is the round-trip time to the target.
	RoundTrip time.Duration
	// Weight is 1 for a healthy target and lower for one that fails or is slow.
	Weight float64
	// Predict, if set, predicts what the request would meet at a candidate. It is the same function for all candidates of a
	// list; a policy calls it only for those that it compares.
	Predict func(c *Candidate) Prediction
}

// Prediction is what a request is expected to meet at a target.
type Prediction struct {
	// FirstOutput and Finish are the times until the request's first output and until its end.
	FirstOutput, Finish time.Duration
	// DelayToOthers is the sum of the delays that the request causes to those that are already there.
	DelayToOthers time.Duration
	// Fits is set unless the request would exceed the target's memory.
	Fits bool
	// Late is set if the first output is expected after the request's objective.
	Late bool
}

// Policy picks one of a non-empty list of candidates and returns its index.
type Policy interface {
	Pick(now time.Time, list []Candidate) int
}

// Func adapts a function to the Policy interface.
type Func func(now time.Time, list []Candidate) int

// Pick calls the function.
func (f Func) Pick(now time.Time, list []Candidate) int { return f(now, list) }

// UnknownError reports that no policy is registered under a name.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown policy %q; registered policies: %s", e.Name, strings.Join(Names(), ", "))
}

var registry = struct {
	mu       sync.Mutex
	builders map[string]func(seed uint64) Policy
}{builders: map[string]func(uint64) Policy{}}

// Register adds a policy to the registry; it panics if the name is already registered.
func Register(name string, build func(seed uint64) Policy) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.builders[name] != nil {
		panic("policy registered twice: " + name)
	}
	registry.builders[name] = build
}

// New builds the policy with the given name; the error is an *UnknownError.
func New(name string, seed uint64) (Policy, error) {
	registry.mu.Lock()
	build := registry.builders[name]
	registry.mu.Unlock()
	if build == nil {
		return nil, &UnknownError{Name: name}
	}
	return build(seed), nil
}

// Names returns the names of the registered policies, sorted.
func Names() []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	var names []string
	for n := range registry.builders {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
