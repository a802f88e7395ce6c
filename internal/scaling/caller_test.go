package scaling

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	dutycalls "bambooferry.example/bambooferry/internal/duty"
	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/internal/steady"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/scaling"
)

// storeStub accepts all writes.
type storeStub struct{ revision int64 }

func (s *storeStub) Grant(context.Context, time.Duration) (feed.Lease, error) {
	return feed.Lease{ID: 1}, nil
}
func (s *storeStub) Renew(context.Context, feed.Lease) error  { return nil }
func (s *storeStub) Revoke(context.Context, feed.Lease) error { return nil }

func (s *storeStub) Commit(context.Context, []feed.Condition, []feed.Write) (feed.Version, error) {
	s.revision++
	return feed.Version{Revision: s.revision}, nil
}

func (s *storeStub) Get(context.Context, string) (feed.Item, error) { return feed.Item{}, nil }

// ratedPlatform answers each second call with 429, and the third accepted one not at all.
type ratedPlatform struct {
	*platformStub
	n, accepted int
}

func (p *ratedPlatform) ReportUsage(context.Context, string, int64, int64, map[string]int64) error {
	return nil
}

func (p *ratedPlatform) OrderTargets(ctx context.Context, _ string, token int64, pool, dataCentre string, n int) error {
	p.n++
	if p.n%2 == 0 {
		p.answers = []error{&dutycalls.RateError{}}
	} else if p.accepted++; p.accepted == 3 {
		p.answers = []error{errLate}
	}
	return p.platformStub.OrderTargets(ctx, duty.Term{Token: token}, pool, dataCentre, n)
}

// presentHolder states the terms of the present time on the scale of another clock.
type presentHolder struct{ *dutycalls.Holder }

func (h presentHolder) Term(now time.Time) (duty.Term, bool) {
	present := steady.Now()
	t, ok := h.Holder.Term(present)
	t.Until = now.Add(t.Until.Sub(present))
	return t, ok
}

// Guards against calls over scaling's half of the accepted rate, and against orders that are lost, or replaced by a late
// one, while the platform limits the rate.
func TestOrdersWithinTheSharedRate(t *testing.T) {
	f := newFixture()
	holder := &dutycalls.Holder{
		Name: "scaling", Key: "k", Instance: "i", Address: netip.MustParseAddrPort("127.0.0.1:1"), Store: &storeStub{},
		Rank: func() int { return 0 }, Separation: time.Millisecond, Metrics: metrics.NewSet(),
	}
	platform := &ratedPlatform{platformStub: f.platform}
	f.Scaler.Holder = presentHolder{holder}
	f.Scaler.Caller = &dutycalls.Caller{Platform: platform, Instance: "i", PerSecond: 20, Scaling: holder, Metrics: metrics.NewSet()}
	f.in[0].Supply = scaling.Supply{"a": {Present: 2}, "b": {Present: 2}, "c": {Present: 2}}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	defer func() {
		cancel()
		<-done
	}()
	holder.Apply(time.Now(), feed.Update{Full: true, Revision: 1})
	go func() {
		defer close(done)
		_ = holder.Run(ctx)
	}()
	require.Eventually(t, func() bool {
		_, ok := holder.Term(steady.Now())
		return ok
	}, 10*time.Second, 10*time.Millisecond)
	f.in[0].Demand.PerSecond = 3
	for end := f.now.Add(7 * time.Second); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		f.Step(f.now, f.now)
	}
	require.Empty(t, f.platform.calls)

	began := time.Now()
	for _, perSecond := range []float64{9, 12, 15} {
		f.in[0].Demand.PerSecond = perSecond
		f.run(stepInterval)
	}
	f.run(5 * time.Second)
	require.Equal(t, map[string]int64{"p/a": 10, "p/b": 10, "p/c": 10}, f.platform.desired)
	require.LessOrEqual(t, float64(platform.n), 1+20*0.5*time.Since(began).Seconds())
	for _, execute := range f.platform.late {
		execute()
	}
	require.Len(t, f.platform.late, 1)
	require.Equal(t, map[string]int64{"p/a": 10, "p/b": 10, "p/c": 10}, f.platform.desired)
}
