package policy

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Candidate is a target that has a free slot, with what is known of it.
type Candidate struct {
	Name string
	// Load is the estimated number of requests at the target, Slots what it can hold.
	Load  float64
	Slots int
	// Pending is how many of them are known to have no output yet.
	Pending int
	// QueueWait is the estimated time until the target takes up new work.
	QueueWait time.Duration
	// CachedShare is the expected share of the prompt that the target has cached, from 0 to 1.
	CachedShare float64
	// PrefillTime is the estimated time for a whole prompt with nothing cached.
	PrefillTime time.Duration
	// RoundTrip is the round-trip time to the target.
	RoundTrip time.Duration
	// Weight is 1 for a healthy target and less for one that fails or is slow.
	Weight float64
}

// Policy picks one of at least one candidates.
type Policy interface {
	Pick(now time.Time, list []Candidate) int
}

// Func makes a function a Policy.
type Func func(now time.Time, list []Candidate) int

// Pick calls the function.
func (f Func) Pick(now time.Time, list []Candidate) int { return f(now, list) }

// UnknownError tells that no policy is registered under a name.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("no policy %q; there are %s", e.Name, strings.Join(Names(), ", "))
}

var registry = struct {
	mu   sync.Mutex
	kind map[string]func(seed uint64) Policy
}{kind: map[string]func(uint64) Policy{}}

// Register offers a policy under a name; it panics when the name is taken.
func Register(name string, build func(seed uint64) Policy) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.kind[name] != nil {
		panic("policy registered twice: " + name)
	}
	registry.kind[name] = build
}

// New returns a policy by name; the error is an *UnknownError.
func New(name string, seed uint64) (Policy, error) {
	registry.mu.Lock()
	m := registry.kind[name]
	registry.mu.Unlock()
	if m == nil {
		return nil, &UnknownError{Name: name}
	}
	return m(seed), nil
}

// Names returns the names of the registered policies, sorted.
func Names() []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	var names []string
	for n := range registry.kind {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
