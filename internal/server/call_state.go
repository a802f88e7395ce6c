package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/instance"
)

// callState is the state that one instance keeps for calls to services.
type callState struct {
	ctx context.Context
	// background counts the runs that continue without their callers. recording counts the writes
	// of their outcomes, which another instance can take over.
	background     sync.WaitGroup
	recording      sync.WaitGroup
	pendingRecords map[*booking.Op]struct{}
	// draining is set when a graceful stop begins to wait for background.
	draining bool
	// ticketsIssued is set once this instance has issued a ticket.
	ticketsIssued atomic.Bool
	departed      departedTable
	runs          runTable
	crashes       crashTable

	mu          sync.Mutex
	retryStates map[string]*entryRetryState
	writers     map[int]*shardWriter
	limiter     writeLimiter
	// lastShardUpdate is when the write budget was last adapted to the number of shards that this instance writes.
	lastShardUpdate time.Time
	dialContext     func(ctx context.Context, network, address string) (net.Conn, error)
}

// initCalls initialises the state and registers its RPC service; ctx ends all calls.
func (s *Server) initCalls(ctx context.Context) error {
	s.calls.ctx = ctx
	s.calls.retryStates, s.calls.writers = map[string]*entryRetryState{}, map[int]*shardWriter{}
	s.calls.limiter.scheduler = booking.WriteScheduler{Spacing: s.Limits.Calls.WriteSpacing, Burst: writeBurst}
	s.calls.runs = runTable{limits: s.Limits.Calls, byKey: map[string]*trackedRun{}, byNonce: map[string]*trackedRun{}}
	s.calls.crashes = crashTable{
		detector: booking.CrashDetector{Retention: s.Limits.Calls.CrashMarkTTL, MaxCrashes: maxRememberedCrashes},
		running:  map[string]map[*targetRequest]struct{}{},
		reported: map[string]crashReport{},
	}
	s.calls.dialContext = (&socket.Dialer{Dialer: net.Dialer{Timeout: time.Second}}).DialContext
	if t, ok := s.Client.Transport.(*header.Transport); ok && t.DialContext != nil {
		s.calls.dialContext = t.DialContext
	}
	if s.Peers == nil {
		return nil
	}
	return errors.Wrap(s.Peers.Register(callsServiceName, &CallPeer{s}), "register RPC service for calls")
}

// runInBackground runs f in a goroutine. A graceful stop waits for it unless that wait has already begun.
func (k *callState) runInBackground(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.draining {
		go f()
		return
	}
	k.background.Go(f)
}

// trackRecord runs f, which writes an operation, and lists the operation as unwritten until f returns.
func (k *callState) trackRecord(o *booking.Op, f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pendingRecords == nil {
		k.pendingRecords = map[*booking.Op]struct{}{}
	}
	k.pendingRecords[o] = struct{}{}
	k.recording.Go(func() {
		f()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.pendingRecords, o)
	})
}

// unwrittenRecords returns the operations that have not been written yet.
func (k *callState) unwrittenRecords() []booking.Op {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]booking.Op, 0, len(k.pendingRecords))
	for o := range k.pendingRecords {
		list = append(list, *o)
	}
	return list
}

func (k *callState) baseContext() context.Context { return k.ctx }

func (k *callState) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return k.dialContext(ctx, network, address)
}

func (k *callState) retryState(entry string) *entryRetryState {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.retryStates[entry]
	if b == nil {
		b = &entryRetryState{budget: booking.RetryBudget{Ratio: booking.RetryRatio, Burst: booking.RetryBurst}}
		k.retryStates[entry] = b
	}
	return b
}

// shardUpdateInterval is the minimum time between two updates of the number of shards that the instance writes.
const shardUpdateInterval = 500 * time.Millisecond

func (s *Server) shardWriterFor(shard int) *shardWriter {
	k := &s.calls
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.lastShardUpdate) > shardUpdateInterval {
		k.lastShardUpdate = now
		k.limiter.setShards(s.countOwnShards())
	}
	w := k.writers[shard]
	if w == nil {
		w = s.newShardWriter(shard, &k.limiter)
		k.writers[shard] = w
	}
	return w
}

// newClaimant identifies this incarnation of the instance as the claimant of a new claim.
func (s *Server) newClaimant(nonce string) booking.Claimant {
	return booking.Claimant{Instance: s.ID, Incarnation: s.Incarnation, Nonce: nonce}
}

// lookupMember returns another instance from the current membership view.
func (s *Server) lookupMember(id string) (instance.Member, bool) {
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		return instance.Member{}, false
	}
	return v.Member(id)
}

// countOwnShards counts the shards that this instance writes on behalf of all instances.
func (s *Server) countOwnShards() int {
	n := 0
	for shard := range s.Limits.Calls.Shards {
		if m, ok := s.shardOwner(shard); !ok || m.ID == s.ID {
			n++
		}
	}
	return n
}
