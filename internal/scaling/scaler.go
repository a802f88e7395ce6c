package scaling

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bambooferry.example/bambooferry/internal/steady"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/scaling"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// stepInterval is the time between two steps.
	stepInterval = 500 * time.Millisecond
	// renewalOverdue is the time since the last renewal of the lease after which the store counts as away: a renewal is
	// due after duty.RenewInterval, and seldom takes longer than a step.
	renewalOverdue = duty.RenewInterval + 300*time.Millisecond
)

// Holder holds the duty; it is *duty.Holder of internal/duty.
type Holder interface {
	Term(now time.Time) (t duty.Term, ok bool)
	Renumber(ctx context.Context) (duty.Term, error)
}

// Caller makes the calls; it is *duty.Caller of internal/duty.
type Caller interface {
	OrderTargets(ctx context.Context, t duty.Term, pool, dataCentre string, n int) error
}

// SmoothReadingShare is a reading share at which streams take at most a third longer than alone: they write at a fifth of their
// speed while their engine reads.
const SmoothReadingShare = 0.3

// Scaler orders the number of targets of each pool; set its exported fields before the first call.
type Scaler struct {
	// ReadingShare bounds the share of time in which an engine reads prompts, as scaling.Plan describes.
	ReadingShare float64
	Holder       Holder
	Caller       Caller
	// Inputs returns what is known of the pools that are scaled, at a time of the wall clock.
	Inputs func(now time.Time) []scaling.Input
	// ThawSlack is how long before its end at the store a lease ends for this instance.
	ThawSlack time.Duration
	Log       *timeline.Writer
	Metrics   *metrics.Set
	// Now returns the present time, that of internal/steady if it is nil.
	Now func() time.Time

	mu sync.Mutex
	// token is that of the term for which the plans were made, or 0. renumbering is set from before a call of Renumber
	// until its token is known: after an error the token may still become higher.
	token       int64
	renumbering bool
	plans       map[string]*scaling.Plan
	// due are the subjects of the orders to be made, in a fixed order, and last is that of the one made last.
	due  []subjectKey
	last subjectKey
	// logged holds what was last logged for each pool.
	logged map[string]loggedState
	gauges map[subjectKey]bool
	// wake signals that due has changed.
	wake chan struct{}
}

// subjectKey identifies a pool in a data centre.
type subjectKey struct{ pool, dataCentre string }

// loggedState is what was last logged for a pool.
type loggedState struct {
	limits  string
	ordered map[string]int
	failed  map[string]string
}

// Run scales the pools until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	s.init()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.send(ctx)
	}()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Step(s.now(), time.Now())
		case <-ctx.Done():
			<-sent
			return ctx.Err()
		}
	}
}

func (s *Scaler) init() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
		s.reset(0)
		s.gauges = map[subjectKey]bool{}
	}
}

// Step decides for each pool if this instance holds the duty; wall is the time of the wall clock.
func (s *Scaler) Step(now, wall time.Time) {
	s.init()
	term, ok := s.Holder.Term(now)
	var inputs []scaling.Input
	if ok {
		inputs = s.Inputs(wall)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.reset(0)
		return
	}
	if term.Token != s.token && !s.renumbering {
		s.reset(term.Token)
	}
	if term.Token != s.token {
		s.token, s.renumbering = term.Token, false
	}
	renewedAt := term.Until.Add(-(duty.LeaseTTL - s.ThawSlack))
	s.due = s.due[:0]
	slices.SortFunc(inputs, func(a, b scaling.Input) int { return cmp.Compare(a.Pool, b.Pool) })
	for i := range inputs {
		in := &inputs[i]
		in.View.StoreAway = in.View.StoreAway || now.Sub(renewedAt) > renewalOverdue
		for _, o := range s.stepPool(now, wall, in) {
			s.due = append(s.due, subjectKey{o.Pool, o.DataCentre})
		}
	}
	maps.DeleteFunc(s.plans, func(name string, _ *scaling.Plan) bool {
		return !slices.ContainsFunc(inputs, func(in scaling.Input) bool { return in.Pool == name })
	})
	if len(s.due) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// reset forgets what was decided under another term; the caller holds mu.
func (s *Scaler) reset(token int64) {
	s.token, s.renumbering, s.due = token, false, nil
	s.plans, s.logged = map[string]*scaling.Plan{}, map[string]loggedState{}
}

// stepPool decides for one pool; the caller holds mu.
func (s *Scaler) stepPool(now, wall time.Time, in *scaling.Input) []scaling.Order {
	if err := in.Limits.Check(); err != nil {
		delete(s.plans, in.Pool)
		s.logLimits(wall, in, err.Error())
		return nil
	}
	p := s.plans[in.Pool]
	if p == nil {
		p = &scaling.Plan{Pool: in.Pool, ReadingShare: s.ReadingShare}
		s.plans[in.Pool] = p
	}
	p.Limits = in.Limits
	s.logLimits(wall, in, "")
	orders := p.Step(now, in.Demand, in.Supply, in.View)
	s.logWanted(wall, in, p)
	s.addGauges(in.Pool, p)
	return orders
}

func (s *Scaler) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return steady.Now()
}
