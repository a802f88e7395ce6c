package usage

import (
	"context"
	"fmt"
	"hash/maphash"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/usage"
)

const (
	// shardCount is the number of counters among which the workspaces are divided.
	shardCount = 8
	// minLoggedStep is the change of the clock estimate from which it is logged.
	minLoggedStep = 250 * time.Millisecond
	// rejectionLogInterval is the least time between two log lines on counts that were ignored.
	rejectionLogInterval = 10 * time.Second
)

// Term is the right to carry out the duty.
type Term = duty.Term

// Tenure says whether this instance holds the duty; it is *duty.Holder.
type Tenure interface {
	Term(now time.Time) (Term, bool)
	RecordRefused(now time.Time, token int64)
}

// Platform accepts reports; it is *duty.Caller.
type Platform interface {
	ReportUsage(ctx context.Context, t Term, window int64, counts map[string]int64) error
}

// Store holds the records of reports.
type Store interface {
	Range(ctx context.Context, prefix, after string) (feed.Page, error)
	Commit(ctx context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error)
}

// Messenger sends messages to other instances, which may be lost.
type Messenger interface {
	SendCounts(data []byte, to netip.AddrPort)
	SendAcknowledgement(data []byte, to netip.AddrPort)
}

// Reporter counts the requests at this instance and reports those of all instances while it holds the duty; set its
// exported fields before the first call.
type Reporter struct {
	// Address is where other instances send messages to, which also identifies this instance; Incarnation is the start of
	// its process in Unix nanoseconds.
	Address     netip.AddrPort
	Incarnation int64
	Window      time.Duration
	// KeyPrefix is the prefix of the keys of the records; the era follows.
	KeyPrefix string
	Store     Store
	Tenure    Tenure
	Platform  Platform
	Messenger Messenger
	// Destinations returns the addresses of the holder and the next candidates, and Instances the number of listed
	// instances, both with this one.
	Destinations func() []netip.AddrPort
	Instances    func() int
	// Era returns the latest known era of the store.
	Era func() int64
	// Now is a clock that never jumps and counts suspended time; WallClock is the wall clock.
	Now       func() time.Time
	WallClock func() time.Time
	Log       *timeline.Writer
	Metrics   *metrics.Set

	initOnce sync.Once
	seed     maphash.Seed
	shards   [shardCount]shard
	// offset is the estimated offset of true time, as a time.Duration.
	offset atomic.Int64

	mu        sync.Mutex
	clock     usage.ClockEstimate
	estimate  usage.Estimate
	estimated bool
	collector usage.Collector
	planner   usage.Planner
	// lastCountsAt is when counts of another instance came last, and collectingSince since when without a longer pause.
	lastCountsAt    time.Time
	collectingSince time.Time
	// acknowledged holds the last acknowledgement to each instance.
	acknowledged map[string]acknowledgement
	// told holds the destinations that have the totals of all kept windows.
	told     map[netip.AddrPort]bool
	lastSent time.Time
	// reported is the last window that the platform has accepted from this instance.
	reported int64
	// sendToken is the token of the report that is being sent, which stopSending ends.
	sendToken   int64
	stopSending context.CancelFunc
	sending     sync.WaitGroup
	rejections  rate.Sometimes
}

type shard struct {
	mu      sync.Mutex
	counter usage.Counter
}

func (r *Reporter) init() {
	r.initOnce.Do(func() {
		r.seed = maphash.MakeSeed()
		r.planner.Window = r.Window
		r.told = map[netip.AddrPort]bool{}
		r.acknowledged = map[string]acknowledgement{}
		r.rejections.Interval = rejectionLogInterval
		r.mu.Lock()
		r.updateClock(r.Now())
		r.mu.Unlock()
		r.registerMetrics()
	})
}

// Observe counts a request that has begun to run.
func (r *Reporter) Observe(now time.Time, workspace string) {
	r.init()
	s := &r.shards[maphash.String(r.seed, workspace)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Add(now, usage.WindowOf(now.Add(time.Duration(r.offset.Load())), r.Window), workspace)
}

// Run exchanges counts and makes the reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, usage.SendInterval, r.exchange) })
	group.Go(func() error { return every(ctx, planInterval, r.plan) })
	err := group.Wait()
	r.sending.Wait()
	return err
}

func every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateClock reads the wall clock and updates the estimate; the caller holds mu.
func (r *Reporter) updateClock(now time.Time) {
	wall := r.WallClock()
	r.clock.ObserveOwn(now, wall)
	r.clock.ObserveStatement(now, r.Address.String(), wall)
	r.updateEstimate(now)
}

// updateEstimate is updateClock without a reading; the caller holds mu.
func (r *Reporter) updateEstimate(now time.Time) {
	_, held := r.Tenure.Term(now)
	former := r.estimate
	r.estimate = r.clock.Estimate(now, held)
	r.offset.Store(int64(r.estimate.Offset))
	if step := r.estimate.Offset - former.Offset; r.estimated && step.Abs() > minLoggedStep {
		r.Log.Write(time.Now(), timeline.Event{
			Kind: "usage_clock_stepped", Why: string(r.estimate.Source),
			Inputs: []timeline.Input{{Name: "step_ms", Value: step.Milliseconds()}, {Name: "bound_ms", Value: r.estimate.Bound.Milliseconds()}},
		})
	}
	r.estimated = true
}

// appendTotals adds this instance's own totals to t.
func (r *Reporter) appendTotals(t usage.Totals, current int64, since time.Time, all int64) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.counter.AppendTotals(t, current, since, all)
		s.mu.Unlock()
	}
}

// registerMetrics registers gauges of the present state.
func (r *Reporter) registerMetrics() {
	for name, value := range map[string]func() float64{
		"bambooferry_usage_last_window_reported": func() float64 { return float64(r.reported) },
		"bambooferry_usage_backlog_windows":      func() float64 { return float64(r.planner.Backlog()) },
		"bambooferry_usage_collected_instances":  func() float64 { return float64(r.collector.Heard(r.Now())) },
		// How far this instance's wall clock is ahead of the estimate of true time.
		"bambooferry_usage_clock_offset_seconds": func() float64 {
			return (r.WallClock().Sub(r.Now()) - r.estimate.Offset).Seconds()
		},
		"bambooferry_usage_clock_bound_seconds": func() float64 { return r.estimate.Bound.Seconds() },
	} {
		r.Metrics.NewGauge(name, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value()
		})
	}
}

// reject counts and logs the parts of a message that were ignored; the caller holds mu.
func (r *Reporter) reject(instance string, why []usage.Rejection) {
	for _, w := range why {
		r.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_usage_rejected_total{why=%q}", string(w))).Inc()
	}
	if len(why) > 0 {
		r.rejections.Do(func() {
			r.Log.Write(time.Now(), timeline.Event{Kind: "usage_counts_ignored", Member: instance, Why: string(why[0]), Inputs: []timeline.Input{{Name: "counts", Value: int64(len(why))}}})
		})
	}
}
