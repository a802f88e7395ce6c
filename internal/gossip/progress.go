package gossip

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// minIntervalPerInstance is the minimum interval between two messages, multiplied by the number
	// of instances in the deployment, so that the message rate an instance receives does not grow
	// with their number.
	minIntervalPerInstance = time.Millisecond
	// repeatInterval is the time after which an unchanged message is sent again, since datagrams
	// are lost.
	repeatInterval = time.Second
)

// Progress is what one instance has in progress at targets and has recently observed of them.
type Progress struct {
	// InProgress holds the requests in progress by target.
	InProgress map[string]engine.RequestCounts `json:"shares"`
	// AttemptCounts holds the attempts within the last window by pool.
	AttemptCounts map[string]booking.SendCounts `json:"sendings,omitempty"`
	// SilentTargets names the targets that recently stopped responding, ReplacedTargets those at
	// whose address another incarnation responds.
	SilentTargets   []string `json:"lost,omitempty"`
	ReplacedTargets []string `json:"gone,omitempty"`
	// Successors maps a lost target to the incarnation that this instance has found at its address.
	Successors map[string]string `json:"successors,omitempty"`
	// LeavingTargets holds the start times, in Unix milliseconds, of targets that have recently stated
	// to this instance that they are leaving.
	LeavingTargets map[string]int64 `json:"leaving,omitempty"`
	// BackoffMillis holds how long targets want no further requests from this instance.
	BackoffMillis map[string]int64 `json:"backoff_ms,omitempty"`
	// Limits holds what targets have recently stated to this instance about the requests that they take.
	Limits map[string]LimitStatement `json:"limits,omitempty"`
	// RefusalLimits holds what this instance has recently learnt of targets that bear few refusals.
	RefusalLimits map[string]RefusalLimitStatement `json:"brittle,omitempty"`
	// Paces holds how slow targets have just stated their machines to be.
	Paces map[string]PaceStatement `json:"paces,omitempty"`
	// Links is what this instance knows about its own links to targets.
	Links LinkStatement `json:"links,omitzero"`
}

// LinkStatement is what an instance states about its own links to targets.
type LinkStatement struct {
	// LostPools are the pools of targets to which none of its direct connections works. Stopping is set if it carries no
	// further connections for others.
	LostPools []string `json:"lost,omitempty"`
	Stopping  bool     `json:"stopping,omitempty"`
	// ContactMillis holds the time since it last received data from a target over a direct connection, by pool.
	ContactMillis map[string]int64 `json:"contact_ms,omitempty"`
}

// IsZero reports whether nothing is stated.
func (s LinkStatement) IsZero() bool {
	return len(s.LostPools)+len(s.ContactMillis) == 0 && !s.Stopping
}

// LimitStatement is what a target has stated about the requests that it takes from all instances together.
type LimitStatement struct {
	// PerSecond is the number of requests a second; it is not stated any more if Ended is set.
	PerSecond float64 `json:"per_s"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMillis is the time since the statement, StartedMillis the start of the target's incarnation in Unix
	// milliseconds.
	AgeMillis     int64 `json:"age_ms"`
	StartedMillis int64 `json:"started_ms"`
}

// RefusalLimitStatement is what a target has stated about the requests that it bears to refuse, and what was learnt of
// its room.
type RefusalLimitStatement struct {
	// PerSecond is the number of refusals within a second; it is not stated any more if Ended is set.
	PerSecond float64 `json:"per_s"`
	Ended     bool    `json:"ended,omitempty"`
	// AgeMillis is the time since the statement, StartedMillis the start of the target's incarnation in Unix
	// milliseconds.
	AgeMillis     int64 `json:"age_ms"`
	StartedMillis int64 `json:"started_ms"`
	// Room is the number of requests for which the target has room, which was learnt RoomAgeMillis ago.
	Room          int   `json:"room"`
	RoomAgeMillis int64 `json:"room_age_ms"`
	// Lowered is set if the room was learnt from a refusal.
	Lowered bool `json:"lowered,omitempty"`
}

// PaceStatement is what a target has stated about its machine.
type PaceStatement struct {
	// SlownessPercent is the time that work takes there, in percent of the usual time.
	SlownessPercent int   `json:"slowness_percent"`
	AgeMillis       int64 `json:"age_ms"`
}

type progressMessage struct {
	Instance string `json:"instance"`
	Progress
}

// ProgressExchange broadcasts the requests that this instance has in progress; set its exported
// fields before Run.
type ProgressExchange struct {
	Socket   *Socket
	Instance string
	// LocalProgress returns the progress of this instance.
	LocalProgress func(now time.Time) Progress
	// LocalChanged signals that LocalProgress has changed.
	LocalChanged <-chan struct{}
	// RepeatsEmpty, if set, reports whether a message with nothing in progress is repeated too, so that the others know
	// that this instance is reachable.
	RepeatsEmpty func() bool
	// ApplyRemote applies the progress of another instance.
	ApplyRemote func(now time.Time, instance string, progress Progress)
}

// Run sends messages until ctx ends.
func (x *ProgressExchange) Run(ctx context.Context) error {
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	empty := true
	for {
		select {
		case <-x.LocalChanged:
		case <-repeat.C:
			if empty && (x.RepeatsEmpty == nil || !x.RepeatsEmpty()) {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		m := progressMessage{Instance: x.Instance, Progress: x.LocalProgress(time.Now())}
		empty = len(m.InProgress)+len(m.AttemptCounts)+len(m.Successors)+len(m.LeavingTargets)+len(m.BackoffMillis)+len(m.Limits)+len(m.RefusalLimits) == 0 && len(m.Links.LostPools) == 0 && !m.Links.Stopping
		if err := x.broadcast(&m); err != nil {
			return err
		}
		pause := time.NewTimer(minIntervalPerInstance * time.Duration(len(x.Socket.PeerAddresses())+1))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		}
	}
}

// broadcast sends a message; if it is too long, it first omits the paces and the expected work, then the backoffs, the silent and replaced targets
// and the successors, then the rooms of brittle targets, and then the requests in progress: leaving and limited targets
// must reach the others.
func (x *ProgressExchange) broadcast(m *progressMessage) error {
	for {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "progress message")
		}
		switch {
		case x.Socket.BroadcastPaced(time.Now(), KindProgress, data):
			return nil
		case len(m.Paces) > 0:
			m.Paces = nil
		case omitWork(m.InProgress):
		case len(m.SilentTargets)+len(m.ReplacedTargets)+len(m.Successors)+len(m.BackoffMillis) > 0:
			m.SilentTargets, m.ReplacedTargets, m.Successors, m.BackoffMillis = nil, nil, nil, nil
		case len(m.RefusalLimits) > 0:
			m.RefusalLimits = nil
		case len(m.LeavingTargets)+len(m.Limits) > 0 && len(m.InProgress) > 0:
			m.InProgress = nil
		default:
			return nil
		}
	}
}

// omitWork removes the expected work from counts, and reports whether there was any.
func omitWork(counts map[string]engine.RequestCounts) bool {
	omitted := false
	for id, c := range counts {
		if short := (engine.RequestCounts{Running: c.Running, Pending: c.Pending}); c != short {
			counts[id], omitted = short, true
		}
	}
	return omitted
}

// HandleMessage processes a message from another instance.
func (x *ProgressExchange) HandleMessage(now time.Time, data []byte) {
	m := progressMessage{}
	if json.Unmarshal(data, &m) == nil && m.Instance != "" && m.Instance != x.Instance {
		x.ApplyRemote(now, m.Instance, m.Progress)
	}
}
