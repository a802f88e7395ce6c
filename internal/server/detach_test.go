package server

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

func newDetachTestStream(limits Limits) *stream {
	s := &Server{Limits: limits, Board: blackboard.New(), Metrics: metrics.NewSet(), Router: &LeastRouter{}, Events: &timeline.Writer{}}
	st := benchStream(s, 0)
	st.engineRequest = engine.Request{Version: "v1"}
	return st
}

// Guards against repeated recomputation of all tokens for a reader that is only slow, and against an
// engine connection that is kept open for an unbounded time.
func TestDetachDelayCoversRegenerationCost(t *testing.T) {
	at := time.Unix(1_900_000_000, 0)
	for _, c := range []struct {
		name      string
		recompute time.Duration
		position  uint64
		exceeded  bool
		want      time.Duration
	}{
		{"never regenerated", 0, 1000, false, 2 * time.Second},
		{"quickly regenerated", time.Millisecond, 1000, false, 2 * time.Second},
		{"regenerated in 8 s", 8 * time.Millisecond, 1000, false, 8 * time.Second},
		{"more to regenerate since", 8 * time.Millisecond, 2000, false, 16 * time.Second},
		{"longer than a reader may rest", time.Second, 1000, false, 5 * time.Minute},
		{"budget used up", 8 * time.Millisecond, 1000, true, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := newDetachTestStream(DefaultLimits())
			st.recomputePerToken, st.core.Position, st.pausedAt = c.recompute, c.position, at
			if c.exceeded {
				st.account.add(int(st.server.Limits.InstanceBytes) + 1)
			}
			require.Equal(t, c.want, st.detachAt().Sub(at))
		})
	}
}

// Guards against a regeneration cost that is not measured, or not cleared when the engine has a record.
func TestRegenerationCostIsMeasured(t *testing.T) {
	st, at := newDetachTestStream(DefaultLimits()), time.Unix(1_900_000_000, 0)
	st.core.Position, st.regenerateStart = 500, at
	st.deliver(at.Add(time.Second), generation.Action{Kind: generation.Deliver, Position: 500, Text: "a"})
	require.Equal(t, 2*time.Millisecond, st.recomputePerToken)
	require.Zero(t, st.regenerateStart)
	st.attempts[7] = &attempt{number: 7, action: generation.Action{Mode: generation.Reattach}}
	st.updateAttempt(at, generation.Event{Kind: generation.Accepted, Attempt: 7})
	require.Zero(t, st.recomputePerToken)
}

// Guards against two slots for one generation after its reader stopped, and against a slot that is kept beyond the linger time.
func TestDetachedStreamReclaimsItsSlot(t *testing.T) {
	e := &catalogue.Entry{Name: "m", Targets: []catalogue.Target{{Name: "engine-a", Version: "v1", Slots: 1}}}
	for _, late := range []bool{false, true} {
		l := DefaultLimits()
		l.Linger = time.Hour
		if late {
			l.Linger = time.Millisecond
		}
		st := newDetachTestStream(l)
		router := st.server.Router.(*LeastRouter)
		c, ok := router.Adopt(time.Now(), e, "engine-a")
		require.True(t, ok)
		st.keepSlot(c)
		st.paused, st.pausedAt = true, time.Now().Add(-time.Hour)
		st.detach(time.Now())
		used := func() int {
			router.mu.Lock()
			defer router.mu.Unlock()
			return router.used["m/engine-a"]
		}
		if late {
			require.Eventually(t, func() bool { return used() == 0 }, 5*time.Second, time.Millisecond)
		}
		_, _, ok = st.reacquireTarget(time.Now(), e, "engine-a")
		require.True(t, ok)
		require.Equal(t, 1, used())
		st.releaseSlot("engine-a")
		require.Zero(t, used())
	}
}
