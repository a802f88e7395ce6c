package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/internal/tunnel"
	"bambooferry.example/bambooferry/pkg/link"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// TunnelDialer opens connections to targets through other instances; it is *tunnel.Dialer.
type TunnelDialer interface {
	Dial(ctx context.Context, carrier netip.AddrPort, target string, confirm bool) (*tunnel.Conn, error)
}

// Links holds what this instance knows about its own links to targets, and about the instances that may carry its
// connections; set its exported fields before the first call.
type Links struct {
	DataCentre string
	Seed       uint64
	// Carriers returns the other instances that may carry connections, and Dialer opens connections through them; both
	// are nil if there are none.
	Carriers func() []link.Carrier
	Dialer   TunnelDialer
	Log      *timeline.Writer
	Metrics  *metrics.Set

	initOnce sync.Once
	startsAt time.Time
	mu       sync.Mutex
	paths    link.Paths
	carriers link.Carriers
	// contacts holds when data from each pool was last received.
	contacts sync.Map // of string to *contact
	stopping atomic.Bool
	// onLost is called when the direct path to a target is lost, and again if those to its pool are.
	onLost func(now time.Time, t route.Target, since time.Time, wholePool bool)
}

// contact is when data from a pool was last received over a direct connection, as the time since startsAt, or 0.
type contact struct{ atomic.Int64 }

func (l *Links) init() {
	l.initOnce.Do(func() {
		l.startsAt = time.Now()
		l.paths.Seed, l.carriers.Seed, l.carriers.DataCentre = l.Seed, l.Seed, l.DataCentre
	})
}

func (l *Links) lock() {
	l.init()
	l.mu.Lock()
}

func (l *Links) plan(now time.Time, t route.Target) link.Plan {
	l.lock()
	defer l.mu.Unlock()
	return l.paths.Plan(now, t.Pool, t.ID)
}

// lostSince returns when the direct path to a target was lost, or the zero time.
func (l *Links) lostSince(t route.Target) time.Time {
	l.lock()
	defer l.mu.Unlock()
	return l.paths.LostSince(t.Pool, t.ID)
}

func (l *Links) poolLost(pool string) bool {
	l.lock()
	defer l.mu.Unlock()
	return l.paths.PoolLost(pool)
}

// contactOf returns the last contact to a pool.
func (l *Links) contactOf(pool string) *contact {
	l.init()
	if c, ok := l.contacts.Load(pool); ok {
		return c.(*contact)
	}
	c, _ := l.contacts.LoadOrStore(pool, &contact{})
	return c.(*contact)
}

// recordContact records that data from a target was received over a direct connection.
func (l *Links) recordContact(now time.Time, c *contact) {
	c.Store(max(int64(now.Sub(l.startsAt)), 1))
}

// contactAt returns when data from a pool was last received over a direct connection, or the zero time.
func (l *Links) contactAt(pool string) time.Time { return l.timeOf(l.contactOf(pool)) }

func (l *Links) timeOf(c *contact) time.Time {
	d := time.Duration(c.Load())
	if d == 0 {
		return time.Time{}
	}
	return l.startsAt.Add(d)
}

// recordConnected records a direct connection to a target.
func (l *Links) recordConnected(now time.Time, t route.Target) {
	l.recordContact(now, l.contactOf(t.Pool))
	l.lock()
	regained := l.paths.RecordConnected(now, t.Pool, t.ID)
	l.mu.Unlock()
	if regained {
		l.report(now, "path_regained", t)
	}
}

// recordFailed records that a direct connection to a target, started at a time, could not be established, and reports
// the paths that are lost by it.
func (l *Links) recordFailed(now, begunAt time.Time, t route.Target) {
	l.lock()
	before := l.paths.PoolLost(t.Pool)
	lost := l.paths.RecordFailed(now, begunAt, t.Pool, t.ID)
	whole, since := l.paths.PoolLost(t.Pool) && !before, l.paths.LostSince(t.Pool, t.ID)
	l.mu.Unlock()
	if !lost {
		return
	}
	l.report(now, "path_lost", t)
	if whole {
		l.report(now, "pool_path_lost", t)
	}
	if l.onLost != nil {
		l.onLost(now, t, since, whole)
	}
}

// report logs and counts a change of what is believed about the direct path to a target, or to its pool.
func (l *Links) report(now time.Time, kind string, t route.Target) {
	if l.Metrics != nil {
		l.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_path_changes_total{change=%q}", kind)).Inc()
	}
	if l.Log == nil {
		return
	}
	l.lock()
	lost, since := l.paths.LostCount(t.Pool), l.paths.LostSince(t.Pool, t.ID)
	l.mu.Unlock()
	inputs := []timeline.Input{{Name: "lost_targets", Value: int64(lost)}, {Name: "contact_ms", Value: ageMillis(now, l.contactAt(t.Pool))}}
	if !since.IsZero() {
		inputs = append(inputs, timeline.Input{Name: "lost_ms", Value: ageMillis(now, since)})
	}
	l.Log.Write(now, timeline.Event{Kind: kind, Target: t.ID, Entry: t.Pool, Inputs: inputs})
}

// ageMillis returns the age of a time in milliseconds, or -1 for the zero time.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// takeCheck reports whether direct paths to a pool are to be checked by new connections now.
func (l *Links) takeCheck(now time.Time, pool string, reason link.CheckReason) bool {
	l.lock()
	defer l.mu.Unlock()
	return l.hasCarriers() && l.paths.TakeCheck(now, pool, reason)
}

// hasCarriers reports whether other instances may carry connections; the caller holds mu.
func (l *Links) hasCarriers() bool {
	return l.Dialer != nil && l.Carriers != nil && len(l.Carriers()) > 0
}

// mayCarry reports whether other instances may carry connections.
func (l *Links) mayCarry() bool {
	l.lock()
	defer l.mu.Unlock()
	return l.hasCarriers()
}

// chooseCarrier returns the instance that carries one more connection to a pool.
func (l *Links) chooseCarrier(now time.Time, pool string, avoid []string) (link.Carrier, bool) {
	if l.Dialer == nil || l.Carriers == nil {
		return link.Carrier{}, false
	}
	list := l.Carriers()
	l.lock()
	defer l.mu.Unlock()
	l.carriers.Retain(list)
	return l.carriers.Choose(now, pool, list, avoid)
}

// dialCarried connects to a target through a carrier.
func (l *Links) dialCarried(ctx context.Context, carrier link.Carrier, t route.Target, confirm bool) (*carriedConn, error) {
	c, err := l.Dialer.Dial(ctx, carrier.Address, t.ID, confirm)
	now := time.Now()
	l.countTunnel(err)
	if err == nil {
		l.lock()
		defer l.mu.Unlock()
		l.paths.RecordCarried(now, t.Pool, t.ID)
		l.carriers.Begin(carrier.Name)
		return &carriedConn{Conn: c, carrier: carrier.Name, links: l}, nil
	}
	failure, refused := (*tunnel.CarrierError)(nil), (*tunnel.ResultError)(nil)
	switch {
	case errors.As(err, &refused) && refused.Result == tunnel.LinksLost:
		l.recordCarrierFailure(now, carrier.Name, t.Pool)
	case isCarrierRefusal(err), errors.As(err, &failure) && ctx.Err() == nil:
		l.recordCarrierFailure(now, carrier.Name, "")
	}
	return nil, err
}

// isCarrierRefusal reports whether a carrier has refused a connection for a reason of its own.
func isCarrierRefusal(err error) bool {
	refused := (*tunnel.ResultError)(nil)
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Result {
	case tunnel.TargetRefused, tunnel.TargetUnreachable, tunnel.TargetUnknown:
		return false
	}
	return true
}

func (l *Links) countTunnel(err error) {
	if l.Metrics == nil {
		return
	}
	result := tunnel.Connected.String()
	if refused := (*tunnel.ResultError)(nil); errors.As(err, &refused) {
		result = refused.Result.String()
	} else if err != nil {
		result = "carrier_failed"
	}
	l.Metrics.GetOrCreateCounter(fmt.Sprintf("bambooferry_carried_connections_total{result=%q}", result)).Inc()
}

// recordCarrierFailure records that a carrier does not reach a pool, or can't carry connections if pool is empty.
func (l *Links) recordCarrierFailure(now time.Time, name, pool string) {
	l.lock()
	defer l.mu.Unlock()
	l.carriers.RecordFailure(now, name, pool)
}

// mayReuse reports whether an idle connection to a target may be used for a new request.
//
// While the direct path is lost, a direct connection is used only if data came over it since. Connections through
// carriers are used only while it is lost.
func (l *Links) mayReuse(now time.Time, t route.Target, c *conn) bool {
	l.lock()
	defer l.mu.Unlock()
	since := l.paths.LostSince(t.Pool, t.ID)
	if c.carrier != "" {
		return !since.IsZero() && l.carriers.Usable(now, c.carrier, t.Pool)
	}
	return since.IsZero() || c.lastReadAt.After(since) && now.Sub(c.lastReadAt) < provenLinkAge
}

// isCarrierUsable reports whether an instance may go on carrying an idle connection to a pool.
func (l *Links) isCarrierUsable(now time.Time, name, pool string) bool {
	l.lock()
	defer l.mu.Unlock()
	return l.carriers.Usable(now, name, pool)
}

// provenLinkAge is the age up to which data over a connection shows that it still works while new ones do not.
const provenLinkAge = time.Second

// BeginStop makes the other instances use other carriers.
func (l *Links) BeginStop() { l.stopping.Store(true) }

// statement returns what this instance states to others about its links.
func (l *Links) statement(now time.Time) gossip.LinkStatement {
	l.lock()
	s := gossip.LinkStatement{LostPools: l.paths.LostPools(), Stopping: l.stopping.Load()}
	l.mu.Unlock()
	l.contacts.Range(func(pool, c any) bool {
		if age := ageMillis(now, l.timeOf(c.(*contact))); age >= 0 && age <= maxContactAge.Milliseconds() {
			if s.ContactMillis == nil {
				s.ContactMillis = map[string]int64{}
			}
			s.ContactMillis[pool.(string)] = age
		}
		return true
	})
	return s
}

// maxContactAge is the age up to which a contact to targets is stated to others.
const maxContactAge = 2 * time.Second

// applyStatement applies what another instance states about its links.
func (l *Links) applyStatement(now time.Time, instance string, s gossip.LinkStatement) {
	stated := link.Statement{LostPools: s.LostPools, Stopping: s.Stopping, Contact: map[string]time.Duration{}}
	for pool, ms := range s.ContactMillis {
		if ms >= 0 && ms <= maxContactAge.Milliseconds() {
			stated.Contact[pool] = time.Duration(ms) * time.Millisecond
		}
	}
	l.lock()
	defer l.mu.Unlock()
	l.carriers.SetStatement(now, instance, stated)
}

// carriedConn is a connection through a carrier, which counts until it is closed.
type carriedConn struct {
	*tunnel.Conn
	carrier   string
	links     *Links
	closeOnce sync.Once
}

// Close closes the connection.
func (c *carriedConn) Close() error {
	c.closeOnce.Do(func() {
		c.links.lock()
		defer c.links.mu.Unlock()
		c.links.carriers.End(c.carrier)
	})
	return c.Conn.Close()
}
