package usage

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/usage"
)

const (
	testWindow = 5 * time.Second
	prefix     = "bambooferry_usage/"
)

// fleet runs reporters in virtual time, with a store, a platform and a net of its own.
type fleet struct {
	t   *testing.T
	mu  sync.Mutex
	rng *rand.Rand
	// holder is the one with the duty, under token, or the zero value.
	holder netip.AddrPort
	token  int64
	nodes  map[netip.AddrPort]*node
	loss   float64
	truth  usage.Totals
	log    logBuffer

	era, revision int64
	items         map[string]feed.Item
	storeDown     bool

	// accepted holds the reports that the platform has executed; onReport, if set, is called before and after.
	accepted map[int64][]map[string]int64
	late     map[int64]time.Duration
	onReport func(ctx context.Context, executed bool) error
}

// logBuffer holds the lines of all instances.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

// count returns the number of logged events of a kind.
func (l *logBuffer) count(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.lines.String(), `"kind":"`+kind+`"`)
}

type node struct {
	*fleet
	address  netip.AddrPort
	reporter *Reporter
	wrong    time.Duration
	stop     context.CancelFunc
	ended    bool
}

func startFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), nodes: map[netip.AddrPort]*node{}, truth: usage.Totals{}, items: map[string]feed.Item{},
		accepted: map[int64][]map[string]int64{}, late: map[int64]time.Duration{}, revision: 10,
	}
	for i := range n {
		f.start(i)
	}
	f.elect(0)
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
		synctest.Wait()
	})
	// No request begins within the error of the clocks from the end of a window.
	time.Sleep(4 * time.Millisecond)
	return f
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
}

// start starts an instance, or starts one again.
func (f *fleet) start(i int) {
	n := &node{fleet: f, address: addressOf(i)}
	origin := time.Duration(1000*i) * time.Second
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	f.mu.Lock()
	f.nodes[n.address] = n
	f.mu.Unlock()
	n.reporter = &Reporter{
		Address: n.address, Incarnation: time.Now().UnixNano(), Window: testWindow, KeyPrefix: prefix, Store: n, Tenure: n, Platform: n, Messenger: n,
		Destinations: f.destinations, Instances: func() int { return locked(f, func() int { return len(f.nodes) }) }, Era: func() int64 { return locked(f, func() int64 { return f.era }) },
		Now: func() time.Time { return time.Unix(0, 0).Add(time.Since(time.Unix(0, 0)) + origin) }, WallClock: func() time.Time { return time.Now().Add(locked(f, func() time.Duration { return n.wrong })) },
		Log: &timeline.Writer{Out: &f.log, Instance: n.address.String(), Clock: &timeline.Clock{}}, Metrics: metrics.NewSet(),
	}
	go func() { _ = n.reporter.Run(ctx) }()
}

func locked[T any](f *fleet, read func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read()
}

// kill ends an instance, which stays listed.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[addressOf(i)]
	n.stop()
	n.ended = true
	if f.holder == n.address {
		f.holder = netip.AddrPort{}
	}
}

// elect gives the duty to an instance under a new token.
func (f *fleet) elect(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.holder, f.token = addressOf(i), f.era<<36|f.revision
	f.items["duty"] = feed.Item{Key: "duty", Revision: f.revision, Era: f.era}
}

func (f *fleet) destinations() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []netip.AddrPort{addressOf(0), addressOf(1)}
	if f.holder.IsValid() {
		list = append(list, f.holder)
	}
	return list
}

func (n *node) Term(now time.Time) (Term, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holder != n.address || n.token>>36 != n.era {
		return Term{}, false
	}
	return duty.Term{Token: n.token, Key: "duty", Revision: n.token & (1<<36 - 1), Era: n.era, Until: now.Add(time.Second)}, true
}

func (n *node) RecordRefused(time.Time, int64) {}

func (n *node) SendCounts(data []byte, to netip.AddrPort) {
	n.deliver(to, func(r *Reporter) { r.HandleCounts(time.Time{}, data) })
}

func (n *node) SendAcknowledgement(data []byte, to netip.AddrPort) {
	n.deliver(to, func(r *Reporter) { r.HandleAcknowledgement(time.Time{}, data) })
}

func (n *node) deliver(to netip.AddrPort, f func(r *Reporter)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if receiver := n.nodes[to]; receiver != nil && !receiver.ended && n.rng.Float64() >= n.loss {
		time.AfterFunc(time.Millisecond, func() { f(receiver.reporter) })
	}
}

var errDown = errors.New("down")

func (n *node) Range(_ context.Context, prefix, _ string) (feed.Page, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	page := feed.Page{Revision: n.revision, Era: n.era}
	for key, it := range n.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, it)
		}
	}
	if n.storeDown {
		return feed.Page{}, errDown
	}
	return page, nil
}

func (n *node) Commit(_ context.Context, conditions []feed.Condition, writes []feed.Write) (feed.Version, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeDown {
		return feed.Version{}, errDown
	}
	for _, c := range conditions {
		if n.items[c.Key].Revision != c.Revision {
			return feed.Version{}, &feed.ConflictError{Key: c.Key}
		}
	}
	n.revision++
	for _, w := range writes {
		n.items[w.Key] = feed.Item{Key: w.Key, Value: w.Value, Revision: n.revision, Era: n.era}
	}
	return feed.Version{Era: n.era, Revision: n.revision}, nil
}

// restore brings the store back to some items, in a new era.
func (f *fleet) restore(items map[string]feed.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.items = maps.Clone(items)
}

func (n *node) ReportUsage(ctx context.Context, _ Term, window int64, counts map[string]int64) error {
	n.mu.Lock()
	hook := n.onReport
	n.mu.Unlock()
	if hook != nil {
		if err := hook(ctx, false); err != nil {
			return err
		}
	}
	n.mu.Lock()
	n.accepted[window] = append(n.accepted[window], counts)
	if _, known := n.late[window]; !known {
		n.late[window] = time.Since(usage.EndOf(window, testWindow))
	}
	n.mu.Unlock()
	if hook != nil {
		return hook(ctx, true)
	}
	return nil
}

// serve lets all instances serve requests for a time.
func (f *fleet) serve(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.serveOnce()
	}
}

func (f *fleet) serveOnce() {
	window := usage.WindowOf(time.Now(), testWindow)
	for _, n := range f.nodes {
		for w := range 3 {
			if locked(f, func() bool { return n.ended }) {
				continue
			}
			name := fmt.Sprint("w", w)
			if w == 2 && window%2 == 0 {
				name = fmt.Sprint("appears", window)
			}
			if f.truth[window] == nil {
				f.truth[window] = map[string]int64{}
			}
			f.truth[window][name]++
			n.reporter.Observe(n.reporter.Now(), name)
		}
	}
}

// requireReported checks that some windows were reported once, or repeated unchanged, near the truth and in time.
func (f *fleet) requireReported(from, to int64) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := from; w <= to; w++ {
		require.NotEmpty(f.t, f.accepted[w], "window %d", w-from)
		for _, again := range f.accepted[w] {
			require.Equal(f.t, f.accepted[w][0], again, "two reports of window %d", w-from)
		}
		require.Len(f.t, f.accepted[w][0], len(f.truth[w]))
		for name, n := range f.truth[w] {
			require.InEpsilon(f.t, n, f.accepted[w][0][name], 0.05, "%s in window %d", name, w-from)
		}
		require.Less(f.t, f.late[w], 10*time.Second)
	}
}
