package link

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// lose records that the direct connection to a target fails while a carrier reaches it.
func lose(p *Paths, ms int, target string) bool {
	p.RecordCarried(at(ms-100), "p", target)
	return p.RecordFailed(at(ms), at(ms-100), "p", target)
}

// Guards against taking a failure of targets, which no instance reaches, for one of the own links.
func TestUnreachableTargetIsNoLostPath(t *testing.T) {
	p := &Paths{}
	for n := range 50 {
		require.False(t, p.RecordFailed(at(10*n), at(10*n-5), "p", fmt.Sprint(n%5)))
	}
	require.Zero(t, p.LostCount("p"))
	require.False(t, p.PoolLost("p"))
	require.Equal(t, Plan{Direct: true, CarryAfter: directPatience}, p.Plan(at(600), "p", "1"))
}

// Guards against trying a path that is lost with each request.
func TestLostPathIsProbedNowAndThen(t *testing.T) {
	p := &Paths{Seed: 1}
	require.True(t, lose(p, 0, "a"))
	direct := 0
	for ms := 1; ms < 20_000; ms += 10 {
		plan := p.Plan(at(ms), "p", "a")
		require.Zero(t, plan.CarryAfter, "a carrier is used at once")
		if plan.Direct {
			direct++
		}
	}
	require.InDelta(t, 20_000/maxProbeDelay.Milliseconds(), direct, 4)
	require.True(t, p.Plan(at(20_000), "p", "b").Direct, "the path to another target is not concerned")
	require.True(t, p.RecordConnected(at(20_010), "p", "a"))
	require.Equal(t, Plan{Direct: true, CarryAfter: directPatience}, p.Plan(at(20_020), "p", "a"))
}

// Guards against learning the loss of all paths target by target, and against a verdict that a direct connection
// contradicts.
func TestLossOfAllPathsToAPool(t *testing.T) {
	p := &Paths{Seed: 1}
	p.RecordConnected(at(0), "p", "a")
	lose(p, 200, "a")
	lose(p, 210, "b")
	require.False(t, p.PoolLost("p"))
	lose(p, 220, "c")
	require.True(t, p.PoolLost("p"))
	require.Equal(t, []string{"p"}, p.LostPools())
	require.Equal(t, at(100), p.LostSince("p", "d"))
	require.Zero(t, p.Plan(at(230), "p", "d").CarryAfter)
	require.False(t, p.PoolLost("q"), "another pool may be reached")
	p.RecordConnected(at(3000), "p", "d")
	require.False(t, p.PoolLost("p"))
	require.False(t, p.LostSince("p", "a").IsZero(), "the path to a known lost target stays lost until it is proved")

	p = &Paths{Seed: 1}
	lose(p, 200, "a")
	lose(p, 210, "b")
	p.RecordConnected(at(215), "p", "d")
	lose(p, 220, "c")
	require.False(t, p.PoolLost("p"), "a target was reached since")
}

// Guards against verdicts on evidence that lies apart, and on a target that a carrier reached once it was back.
func TestOldEvidenceIsNotCombined(t *testing.T) {
	p := &Paths{}
	p.RecordCarried(at(0), "p", "a")
	late := int(evidenceWindow.Milliseconds()) + 1
	require.False(t, p.RecordFailed(at(late), at(late), "p", "a"))
	p.RecordCarried(at(5000), "p", "a")
	require.False(t, p.RecordFailed(at(5140), at(4990), "p", "a"))
	require.True(t, p.RecordFailed(at(5150), at(5000), "p", "a"))
}

// Guards against a plan without any path, and against a loss that outlives a direct connection.
func TestPathsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Paths{Seed: rapid.Uint64().Draw(t, "seed")}
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			target := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				p.RecordConnected(now, "p", target)
				if !p.LostSince("p", target).IsZero() || p.PoolLost("p") {
					t.Fatal("lost after a direct connection")
				}
			case 1:
				p.RecordFailed(now, now.Add(-VerdictTime), "p", target)
			case 2:
				p.RecordCarried(now, "p", target)
			default:
				p.TakeCheck(now, "p", TargetSilent)
			}
			plan := p.Plan(now, "p", target)
			lost := !p.LostSince("p", target).IsZero()
			if lost != (plan.CarryAfter == 0) || !lost && !plan.Direct {
				t.Fatalf("plan %+v, lost %t", plan, lost)
			}
			if since := p.LostSince("p", target); since.After(now) {
				t.Fatal("lost in the future")
			}
		}
	})
}
