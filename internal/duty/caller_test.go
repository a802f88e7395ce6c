package duty

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// fakePlatform returns the same result to all calls, and records them.
type fakePlatform struct {
	mu     sync.Mutex
	err    error
	tokens []int64
}

func (p *fakePlatform) call(token int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = append(p.tokens, token)
	return p.err
}

func (p *fakePlatform) ReportUsage(_ context.Context, _ string, token, _ int64, _ map[string]int64) error {
	return p.call(token)
}

func (p *fakePlatform) OrderTargets(_ context.Context, _ string, token int64, _, _ string, _ int) error {
	return p.call(token)
}

// newCaller returns a caller whose clock is that of a cluster with one instance, which holds the duty of usage; that of
// scaling is held elsewhere unless both is set.
func newCaller(t *testing.T, perSecond float64, both bool) (*cluster, *Caller, *fakePlatform, duty.Term) {
	c := newRunningCluster(t, 1)
	p := &fakePlatform{}
	log := &timeline.Writer{Out: io.Discard, Clock: &timeline.Clock{}}
	caller := &Caller{Platform: p, Instance: "i0", PerSecond: perSecond, Usage: c.nodes[0].Holder, Log: log, Metrics: metrics.NewSet()}
	caller.Now = func() time.Time {
		// The clock advances while a call waits.
		c.now = c.now.Add(time.Millisecond)
		return c.now
	}
	caller.Scaling = &Holder{Name: "scaling", Key: "duties/scaling", Instance: "i0", Rank: func() int { return 0 }, Metrics: metrics.NewSet(), Log: log, Now: caller.Now}
	if both {
		caller.Scaling = c.nodes[0].Holder
	}
	term, ok := c.nodes[0].Term(c.now)
	require.True(t, ok)
	return c, caller, p, term
}

// Guards against more calls than the platform accepts, and against scaling that leaves no room for usage reports.
func TestAcceptedRateIsShared(t *testing.T) {
	taken := func(caller *Caller, h *Holder, start time.Time) int {
		n := 0
		for ms := range 10000 {
			if caller.reserve(start.Add(time.Duration(ms)*time.Millisecond), h) <= 0 {
				n++
			}
		}
		return n
	}
	c, caller, _, _ := newCaller(t, 10, false)
	require.InDelta(t, 45, taken(caller, caller.Scaling, c.now), 1, "at most half")
	c, caller, _, _ = newCaller(t, 10, false)
	require.InDelta(t, 45, taken(caller, caller.Usage, c.now), 1, "another instance may use the other half for scaling")
	c, caller, _, _ = newCaller(t, 10, false)
	caller.Scaling = nil
	require.InDelta(t, 90, taken(caller, caller.Usage, c.now), 1, "all of it without scaling")
}

// Guards against scaling that is called while a usage report waits.
func TestUsageGoesFirst(t *testing.T) {
	c, caller, _, _ := newCaller(t, 10, false)
	caller.addWaiting(1)
	require.Equal(t, priorityPause, caller.reserve(c.now, caller.Scaling))
	require.LessOrEqual(t, caller.reserve(c.now, caller.Usage), time.Duration(0))
}

// Guards against calls without a term, or with a token that is no longer that of the term.
func TestCallNeedsTheTerm(t *testing.T) {
	c, caller, p, term := newCaller(t, 1000, false)
	ctx := context.Background()
	require.NoError(t, caller.ReportUsage(ctx, term, 1, nil))
	require.Equal(t, []int64{term.Token}, p.tokens)
	c.now = c.now.Add(time.Second / 2)
	_, err := c.nodes[0].Renumber(ctx)
	require.NoError(t, err)
	held := (*NotHeldError)(nil)
	require.ErrorAs(t, caller.ReportUsage(ctx, term, 1, nil), &held)
	require.ErrorAs(t, caller.OrderTargets(ctx, term, "p", "d", 1), &held)
	c.now = c.now.Add(duty.LeaseTTL)
	require.ErrorAs(t, caller.ReportUsage(ctx, term, 1, nil), &held)
	require.Len(t, p.tokens, 1)
}

// Guards against a term that goes on after a refused token.
func TestRefusedCallEndsTheTerm(t *testing.T) {
	c, caller, p, term := newCaller(t, 1000, false)
	p.err = &RefusedError{Token: term.Token}
	refused := (*RefusedError)(nil)
	require.ErrorAs(t, caller.ReportUsage(context.Background(), term, 1, nil), &refused)
	_, ok := c.nodes[0].Term(c.now)
	require.False(t, ok)
}

// Guards against calls that hit a platform that limits, refuses or does not respond, and against a log line for each of
// them.
func TestBackoffAndBelief(t *testing.T) {
	c, caller, p, term := newCaller(t, 1000, false)
	out := &bytes.Buffer{}
	caller.Log = &timeline.Writer{Out: out, Clock: &timeline.Clock{}}
	// call makes a call as soon as the backoff allows it, and returns how long that took.
	call := func(err error) time.Duration {
		p.err = err
		start := c.now
		for caller.reserve(c.now, caller.Usage) > 0 {
			c.now = c.now.Add(time.Millisecond)
		}
		caller.record(c.now, err)
		return c.now.Sub(start)
	}
	call(nil)
	for i, err := range []error{&RateError{}, &RateError{}, errNoResponse, errNoResponse, errNoResponse, syscall.ECONNREFUSED, &StatusError{Status: 503}} {
		took := call(err)
		if i > 0 {
			require.GreaterOrEqual(t, took, minCallBackoff)
			require.LessOrEqual(t, took, maxCallBackoff+time.Millisecond)
		}
	}
	require.Greater(t, call(errNoResponse), maxCallBackoff/2-time.Millisecond, "after several failures")
	call(nil)
	require.LessOrEqual(t, call(nil), 3*time.Millisecond, "no backoff after an accepted call, only the rate")
	require.Equal(t, 6, strings.Count(out.String(), `"duty_platform"`), "%s", out)
	require.NotZero(t, term.Token)
}

// Guards against a holder that does not learn of the platform's silence from its calls, or resigns although the platform
// has responded.
func TestSilenceEndsTheTerm(t *testing.T) {
	for _, responds := range []bool{false, true} {
		c, caller, p, term := newCaller(t, 1000, true)
		for i := range 2 {
			p.err = errNoResponse
			require.ErrorIs(t, caller.ReportUsage(context.Background(), term, 1, nil), errNoResponse)
			for end := c.now.Add(maxCallBackoff); c.now.Before(end); {
				c.now = c.now.Add(tick)
				c.store.advance(c.now)
				c.nodes[0].Step(context.Background(), c.now)
			}
			if p.err = nil; responds && i == 0 {
				require.NoError(t, caller.OrderTargets(context.Background(), term, "p", "d", 1))
			}
		}
		_, ok := c.nodes[0].Term(c.now)
		require.Equal(t, responds, ok)
	}
}

// Guards against a wait that goes on after its context has ended.
func TestWaitEndsWithItsContext(t *testing.T) {
	c, caller, _, term := newCaller(t, 0.1, false)
	require.NoError(t, caller.ReportUsage(context.Background(), term, 1, nil))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, caller.ReportUsage(ctx, term, 1, nil), context.DeadlineExceeded)
	require.Zero(t, caller.usageWaiting)
	require.NotZero(t, c.now)
}
