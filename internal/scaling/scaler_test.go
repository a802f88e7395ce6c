package scaling

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	dutycalls "bambooferry.example/bambooferry/internal/duty"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/scaling"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// platformStub executes orders by their token; late ones wait until they are released.
type platformStub struct {
	highest, desired map[string]int64
	// answers are the errors of the next calls; errLate keeps a call for later.
	answers []error
	late    []func()
	calls   []string
}

var errLate = errors.New("no answer")

func newPlatformStub() *platformStub {
	return &platformStub{highest: map[string]int64{}, desired: map[string]int64{}}
}

func (p *platformStub) OrderTargets(_ context.Context, t duty.Term, pool, dataCentre string, n int) error {
	subject := pool + "/" + dataCentre
	p.calls = append(p.calls, fmt.Sprintf("%s=%d@%d", subject, n, t.Token))
	execute := func() error {
		if t.Token < p.highest[subject] {
			return &dutycalls.RefusedError{Token: t.Token}
		}
		p.highest[subject], p.desired[subject] = t.Token, int64(n)
		return nil
	}
	if len(p.answers) == 0 {
		return execute()
	}
	err := p.answers[0]
	p.answers = p.answers[1:]
	if errors.Is(err, errLate) {
		p.late = append(p.late, func() { _ = execute() })
	}
	return err
}

// holderStub holds the duty while token is not 0.
type holderStub struct {
	token int64
	until time.Time
	fails bool
	// err is the error of Renumber, if it is not nil.
	err error
}

func (h *holderStub) Term(now time.Time) (duty.Term, bool) {
	until := h.until
	if until.IsZero() {
		until = now.Add(duty.LeaseTTL)
	}
	return duty.Term{Token: h.token, Until: until}, h.token != 0
}

func (h *holderStub) Renumber(context.Context) (duty.Term, error) {
	if h.err != nil {
		return duty.Term{}, h.err
	}
	if h.fails {
		return duty.Term{}, errors.New("store away")
	}
	h.token++
	return duty.Term{Token: h.token}, nil
}

// fixture is a scaler with stubs; inputs are for one data centre.
type fixture struct {
	*Scaler
	holder   *holderStub
	platform *platformStub
	in       []scaling.Input
	now      time.Time
	log      *bytes.Buffer
}

func newFixture() *fixture {
	f := &fixture{holder: &holderStub{token: 7}, platform: newPlatformStub(), now: time.Unix(1000, 0), log: &bytes.Buffer{}}
	f.in = []scaling.Input{{
		Pool: "p", Limits: scaling.Limits{Min: 1, Max: 50, BootTime: time.Second},
		Demand: scaling.Demand{PerSecond: 5, ReadingTime: time.Second, Slots: 24}, Supply: scaling.Supply{"a": {Present: 10}},
	}}
	f.Scaler = &Scaler{
		Holder: f.holder, Caller: f.platform, Inputs: func(time.Time) []scaling.Input { return append([]scaling.Input(nil), f.in...) },
		Log: &timeline.Writer{Out: f.log, Clock: &timeline.Clock{}}, Metrics: metrics.NewSet(), Now: func() time.Time { return f.now },
	}
	return f
}

// run runs steps for a time, with the calls of each.
func (f *fixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		f.Step(f.now, f.now)
		for f.SendNext(context.Background()) {
		}
	}
}

// Guards against an order that is executed late and replaces a newer one.
func TestNewerNumberWinsOverLateOrder(t *testing.T) {
	f := newFixture()
	f.run(7 * time.Second)
	f.in[0].Demand.PerSecond = 8
	f.platform.answers = []error{errLate, errLate}
	f.run(stepInterval)
	f.run(stepInterval)
	require.Equal(t, []string{"p/a=16@7", "p/a=16@7"}, f.platform.calls, "the same number is repeated under the same token")
	f.in[0].Demand.PerSecond = 10
	f.holder.fails = true
	f.run(time.Second)
	require.Len(t, f.platform.calls, 2, "without a higher token there is no other order")
	f.holder.fails = false
	f.run(time.Second)
	require.Equal(t, []string{"p/a=20@8"}, f.platform.calls[2:])
	for _, execute := range f.platform.late {
		execute()
	}
	require.Equal(t, int64(20), f.platform.desired["p/a"])
	f.run(2 * time.Second)
	require.Len(t, f.platform.calls, 3, "an answered order is not repeated")
	require.Contains(t, f.log.String(), "order_unanswered")
	require.Contains(t, f.log.String(), "engines_wanted")
}

// Guards against orders of a new holder, and of one whose token was refused, by what it knew before.
func TestNewTermOrdersNothingAtOnce(t *testing.T) {
	f := newFixture()
	f.run(7 * time.Second)
	f.in[0].Demand.PerSecond = 8
	f.holder.token = 0
	f.run(time.Second)
	require.Empty(t, f.platform.calls)
	f.holder.token = 20
	f.run(6 * time.Second)
	require.Empty(t, f.platform.calls)
	f.run(time.Second)
	require.Equal(t, []string{"p/a=16@20"}, f.platform.calls)

	f.in[0].Demand.PerSecond = 10
	f.platform.highest["p/a"] = 30
	f.run(6 * time.Second)
	require.Equal(t, []string{"p/a=20@20"}, f.platform.calls[1:], "a refused token is not used again at once")
	f.holder.token = 31
	f.run(5 * time.Second)
	require.Len(t, f.platform.calls, 2)
	f.run(2 * time.Second)
	require.Equal(t, []string{"p/a=20@31"}, f.platform.calls[2:])
}

// Guards against a number that is given up, or a renumbering, because the platform's rate was used up.
func TestRateLimitedOrderIsMadeLater(t *testing.T) {
	f := newFixture()
	f.run(7 * time.Second)
	f.in[0].Demand.PerSecond = 8
	f.platform.answers = []error{&dutycalls.RateError{}, &dutycalls.RateError{}}
	f.run(stepInterval)
	require.Len(t, f.platform.calls, 1, "no repetition in the same step")
	f.in[0].Demand.PerSecond = 9
	f.run(2 * time.Second)
	require.Equal(t, []string{"p/a=16@7", "p/a=18@7", "p/a=18@7"}, f.platform.calls)
	require.Equal(t, int64(18), f.platform.desired["p/a"])
}

// Guards against one pool's limits that stop all others, and a log line for each step.
func TestUnusableLimits(t *testing.T) {
	f := newFixture()
	bad := f.in[0]
	bad.Pool, bad.Limits = "bad", scaling.Limits{Min: 3, Max: 2, BootTime: time.Second}
	f.in = append(f.in, bad)
	f.in[0].Demand.PerSecond, f.in[1].Demand.PerSecond = 8, 8
	f.run(8 * time.Second)
	require.Equal(t, []string{"p/a=16@7"}, f.platform.calls)
	require.Equal(t, 1, bytes.Count(f.log.Bytes(), []byte("scaling_limits_unusable")))
}

// Guards against fewer targets while the store does not respond, which the age of the last renewal tells.
func TestOverdueRenewalStopsLowering(t *testing.T) {
	f := newFixture()
	f.in[0].Demand.PerSecond = 1
	f.run(11 * time.Second)
	for end := f.now.Add(5 * time.Second); f.now.Before(end); {
		f.holder.until = f.now.Add(duty.LeaseTTL - time.Second)
		f.run(stepInterval)
	}
	require.Empty(t, f.platform.calls)
	f.holder.until = time.Time{}
	f.run(15 * time.Second)
	require.Equal(t, "p/a=8@7", f.platform.calls[0])
}

// Guards against an order that is executed late and replaces a newer one, where its token became known between two steps
// after a renumbering without an answer.
func TestUnansweredOrderUnderAdoptedToken(t *testing.T) {
	f := newFixture()
	f.run(7 * time.Second)
	f.in[0].Demand.PerSecond = 8
	f.platform.answers = []error{errLate, errLate}
	f.run(stepInterval)
	f.in[0].Demand.PerSecond = 9
	f.holder.fails = true
	f.run(stepInterval)
	f.Step(f.now, f.now)
	f.holder.token = 8
	f.SendNext(context.Background())
	require.Equal(t, []string{"p/a=16@7", "p/a=18@8"}, f.platform.calls)
	f.in[0].Demand.PerSecond = 10
	f.holder.fails = false
	f.run(stepInterval)
	require.Equal(t, []string{"p/a=20@9"}, f.platform.calls[2:])
	for _, execute := range f.platform.late {
		execute()
	}
	require.Equal(t, int64(20), f.platform.desired["p/a"])
}

// Guards against a new term that acts on what was decided under one that was lost while its token was renumbered.
func TestTermLostWhileRenumbering(t *testing.T) {
	f := newFixture()
	f.run(7 * time.Second)
	f.in[0].Demand.PerSecond = 8
	f.platform.answers = []error{errLate}
	f.run(stepInterval)
	f.in[0].Demand.PerSecond = 9
	f.holder.err = &dutycalls.NotHeldError{}
	f.run(stepInterval)
	f.holder.token, f.holder.err = 20, nil
	f.run(6 * time.Second)
	require.Len(t, f.platform.calls, 1, "a new term needs a reliable view for 6 s")
}

// Guards against subjects that never get their turn because an earlier one changes with each step.
func TestOrdersTakeTurns(t *testing.T) {
	f := newFixture()
	f.in[0].Supply = scaling.Supply{"a": {Present: 10}, "b": {Present: 10}, "c": {Present: 10}}
	f.run(7 * time.Second)
	for i := range 6 {
		f.in[0].Demand.PerSecond = 20 + 3*float64(i)
		f.Step(f.now, f.now)
		f.SendNext(context.Background())
		f.now = f.now.Add(stepInterval)
	}
	for i, call := range f.platform.calls {
		require.Equal(t, string("abc"[i%3]), call[2:3], "%v", f.platform.calls)
	}
	require.Len(t, f.platform.calls, 6)
}

// Guards against a Run that outlives its context, or orders without targets that tell the data centres.
func TestRunEndsWithContext(t *testing.T) {
	f := newFixture()
	f.Scaler.Now = nil
	f.in[0].Supply["a"] = scaling.DataCentre{}
	ctx, cancel := context.WithTimeout(context.Background(), 3*stepInterval)
	defer cancel()
	require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
	require.Empty(t, f.platform.calls)
}
