package scaling

import (
	"fmt"
	"math"
	"time"
)

// LimitsError reports limits that can't be used.
type LimitsError struct {
	Field string
	Value int64
}

func (e *LimitsError) Error() string { return fmt.Sprintf("scaling: %s is %d", e.Field, e.Value) }

// Limits are the operators' limits for a pool in each data centre.
type Limits struct {
	Min int
	Max int
	// BootTime is the time from an order until a new target serves.
	BootTime time.Duration
}

// Check returns a *LimitsError if the limits can't be used.
func (l Limits) Check() error {
	switch {
	case l.Min < 0:
		return &LimitsError{Field: "min", Value: int64(l.Min)}
	case l.Max < l.Min:
		return &LimitsError{Field: "max", Value: int64(l.Max)}
	case l.BootTime <= 0:
		return &LimitsError{Field: "boot_time_ms", Value: l.BootTime.Milliseconds()}
	}
	return nil
}

// clamp returns the number within the limits. A pool of which requests arrive keeps one target in each data centre: with
// none, no request could be served until one has booted.
func (l Limits) clamp(n int) int { return min(max(n, l.Min, 1), l.Max) }

// Demand is what the callers of a pool ask for, at all instances together.
type Demand struct {
	// PerSecond is the rate of requests, averaged over Window.
	PerSecond float64
	Window    time.Duration
	// ReadingTime is how long a target needs to read a prompt; 0 if it reads none.
	ReadingTime time.Duration
	// InProgress is the number of requests in progress, and Pending of those without output.
	InProgress int
	Pending    int
	// Slots is the number of requests that a target can run at once.
	Slots int

	readingShare float64
}

// deviation returns the relative standard deviation of the rate for random arrivals, or 0 if the window is not known.
func (d *Demand) deviation() float64 {
	n := d.PerSecond * d.Window.Seconds()
	if n <= 0 {
		return 0
	}
	return min(1/math.Sqrt(n), 1)
}

// DataCentre holds the numbers of a pool's targets in one data centre.
type DataCentre struct {
	// Present are those that are listed and not leaving, and Lost those of them that were lost recently.
	Present int
	Leaving int
	Lost    int
	// Failing is set while the data centre is losing targets or has recently lost some, SinceLoss ago the last one.
	Failing   bool
	SinceLoss time.Duration
}

// Supply holds the targets of a pool by data centre.
type Supply map[string]DataCentre

// present returns the number of targets in all data centres.
func (s Supply) present() int {
	n := 0
	for _, dc := range s {
		n += dc.Present
	}
	return n
}

// View states how far the inputs can be relied on.
type View struct {
	// Stale is set if a majority of the instances has not been heard of.
	Stale bool
	// StoreAway is set while the store does not respond.
	StoreAway bool
	// Changing is set while the pool's version changes.
	Changing bool
	// CostUnknown is set if the instance has not seen since its start what a request costs.
	CostUnknown bool
}

// Input is what an instance knows of a pool that is scaled.
type Input struct {
	Pool   string
	Limits Limits
	Demand Demand
	Supply Supply
	View   View
}

// Order asks for a number of targets in one data centre.
type Order struct {
	Pool       string
	DataCentre string
	Desired    int
	Why        string
	// Above is a token that the order's must exceed: a different order without an answer may be executed late under it.
	Above int64
}
