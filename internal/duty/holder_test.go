package duty

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bambooferry.example/bambooferry/internal/feed"
	"bambooferry.example/bambooferry/internal/steady"
	"bambooferry.example/bambooferry/pkg/duty"
)

const takeover = 3 * time.Second

// Guards against a duty that nobody takes over in time from a process that was killed.
func TestKilledHolderIsReplaced(t *testing.T) {
	c := newRunningCluster(t, 4)
	c.nodes[0].stopped = true
	require.Equal(t, 1, c.await(takeover))
}

// Guards against a takeover that takes long when the next candidates have ended with the holder.
func TestHolderAndNextCandidatesAreReplaced(t *testing.T) {
	c := newRunningCluster(t, 5)
	for i := range 4 {
		c.nodes[i].stopped = true
	}
	require.Equal(t, 4, c.await(takeover))
}

// Guards against a holder that acts after it was frozen past its lease: only what it had begun to send goes out, and the
// platform refuses it.
func TestFrozenHolderStops(t *testing.T) {
	c := newRunningCluster(t, 3)
	frozen := c.nodes[0]
	term, ok := frozen.Term(c.now)
	require.True(t, ok)
	frozen.frozen, frozen.pending = true, term.Token
	require.Equal(t, 1, c.await(takeover))
	c.run(time.Second)
	frozen.frozen = false
	c.tick()
	require.Equal(t, 1, c.refused)
	require.Equal(t, 1, c.holder())
	c.run(10 * time.Second)
	require.Equal(t, 1, c.refused)
}

// Guards against a holder that goes on beyond its lease while the store is unavailable to it, and against one that stops
// before. Another instance takes over if it reaches the store.
func TestHolderCutFromStore(t *testing.T) {
	c := newRunningCluster(t, 3)
	c.nodes[0].client.cut = true
	c.run(duty.LeaseTTL - duty.RenewInterval - thawSlack - 2*tick)
	require.Equal(t, 0, c.holder())
	require.Equal(t, 1, c.awaitOther(0, takeover))
}

// Guards against calls to the store by instances that neither hold a duty nor may get it.
func TestCandidatesMakeNoCalls(t *testing.T) {
	c := newRunningCluster(t, 3)
	clear(c.nodes[0].client.calls)
	c.run(12 * time.Second)
	require.Empty(t, c.nodes[1].client.calls)
	require.Empty(t, c.nodes[2].client.calls)
	calls := c.nodes[0].client.calls
	require.InDelta(t, 20, calls["renew"], 2, "each 0.6 s")
	require.Len(t, calls, 1, "only renewals")
}

// Guards against an outage of the store in which the duty changes hands, or after which it stays without a holder.
func TestStoreOutage(t *testing.T) {
	c := newRunningCluster(t, 3)
	for _, n := range c.nodes {
		n.client.cut = true
	}
	c.run(10 * time.Second)
	require.Equal(t, -1, c.holder())
	for _, n := range c.nodes {
		n.client.cut = false
	}
	c.await(takeover)
}

// Guards against a duty without a holder after the response to the winning write was lost.
func TestLostResponseOfTheWinningWrite(t *testing.T) {
	c := newCluster(t, 2)
	c.nodes[0].client.loseCommit = true
	require.Equal(t, 0, c.await(2*separation+time.Second))
	require.Equal(t, 1, c.nodes[0].client.calls["get"])
	c.run(5 * time.Second)
	require.Equal(t, 0, c.holder())
}

// Guards against a winning write that is executed late, after another instance or none has won: its key is never
// held under two tokens, and does not stay without a holder.
func TestLateExecutionOfTheWinningWrite(t *testing.T) {
	for _, lateBy := range []time.Duration{tick, 300 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second} {
		for _, n := range []int{1, 3} {
			c := newCluster(t, n)
			c.nodes[0].client.loseCommit, c.nodes[0].client.lateBy = true, lateBy
			c.await(2*separation + 2*time.Second)
			c.run(8 * time.Second)
			require.GreaterOrEqual(t, c.holder(), 0, "%v, %d instances", lateBy, n)
		}
	}
}

// Guards against a late write that a restore binds to another owner's lease, and that blocks the duty with it.
func TestLateWriteWithAnotherOwnersLease(t *testing.T) {
	c := newCluster(t, 1)
	client := c.nodes[0].client
	client.loseCommit, client.lateBy = true, 500*time.Millisecond
	c.run(2*separation + tick)
	require.Len(t, c.store.late, 1)
	require.True(t, c.store.restore(c.now))
	// After the restore, the number of the lease is that of one that does not end.
	lease := c.store.nextLease - 1
	c.store.leases[lease] = storedLease{ttl: time.Hour, until: c.now.Add(time.Hour)}
	c.run(10 * time.Second)
	require.Equal(t, 0, c.holder())
	require.NotEqual(t, lease, c.store.items[testKey].lease)
}

// Guards against two candidates that write at the same time.
func TestTwoCandidatesAtOnce(t *testing.T) {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		n.Rank = func() int { return 0 }
	}
	c.await(2*separation + time.Second)
	c.run(5 * time.Second)
	require.GreaterOrEqual(t, c.holder(), 0)
}

// Guards against a token that repeats or goes back after a restore, and against a duty that has no holder afterwards; the
// store is restored at each of the moments of a change of holder.
func TestRestoredStore(t *testing.T) {
	for _, cut := range []bool{false, true} {
		for after := time.Duration(0); after < 8*time.Second; after += 7 * tick {
			for _, age := range []time.Duration{0, tick, time.Second, 4 * time.Second} {
				c := newRunningCluster(t, 3)
				c.nodes[0].stopped = true
				c.nodes[1].client.loseCommit = cut
				c.run(after)
				if !c.store.restore(c.now.Add(-age)) {
					continue
				}
				c.nodes[2].client.cut = cut
				c.run(time.Second)
				c.nodes[2].client.cut = false
				c.run(14 * time.Second)
				require.Positive(t, c.holder(), "%v %v", after, age)
				last := c.accepted[len(c.accepted)-1]
				require.Equal(t, c.store.era, last.token>>36)
			}
		}
	}
}

// Guards against a term that goes on in the store's next era.
func TestRestoreEndsTheTerm(t *testing.T) {
	c := newRunningCluster(t, 2)
	_, ok := c.nodes[0].Term(c.now)
	require.True(t, ok)
	c.nodes[0].client.era++
	_, ok = c.nodes[0].Term(c.now)
	require.False(t, ok, "as soon as any response states the era")
}

// Guards against tokens that repeat or go back when all instances are lost at once.
func TestAllInstancesLost(t *testing.T) {
	c := newRunningCluster(t, 3)
	before, _ := c.nodes[0].Term(c.now)
	for i := range c.nodes {
		c.start(i)
	}
	i := c.await(2*separation + time.Second)
	after, _ := c.nodes[i].Term(c.now)
	require.Greater(t, after.Token, before.Token)
}

// Guards against a holder that goes on after a 409, or keeps the key that it can't use.
func TestRefusedTokenEndsTheTerm(t *testing.T) {
	c := newRunningCluster(t, 2)
	term, _ := c.nodes[0].Term(c.now)
	c.nodes[0].RecordRefused(c.now, term.Token-1)
	require.Equal(t, 0, c.holder())
	c.nodes[0].RecordRefused(c.now, term.Token)
	require.Equal(t, -1, c.holder())
	require.Equal(t, 1, c.await(time.Second), "the key is removed at once")
	require.Equal(t, 1, c.nodes[0].client.calls["revoke"])
}

// Guards against a holder that keeps the duty although the platform does not respond to it.
func TestSilentPlatform(t *testing.T) {
	c := newRunningCluster(t, 2)
	c.platformCut[0] = true
	c.run(3*time.Second - tick)
	require.Equal(t, 0, c.holder())
	require.Equal(t, 1, c.awaitOther(0, time.Second))
	c.run(12 * time.Second)
	require.Equal(t, 1, c.holder())
}

// Guards against a renumbering that does not make earlier calls lower, also if its response is lost, and against one that
// ends the term.
func TestRenumber(t *testing.T) {
	c := newRunningCluster(t, 2)
	ctx := context.Background()
	n := c.nodes[0]
	before, _ := n.Term(c.now)
	after, err := n.Renumber(ctx)
	require.NoError(t, err)
	require.Greater(t, after.Token, before.Token)
	require.Equal(t, feed.Condition{Key: testKey, Revision: c.store.items[testKey].revision}, Condition(after))

	n.client.loseCommit = true
	lost, err := n.Renumber(ctx)
	require.NoError(t, err, "read back")
	require.Greater(t, lost.Token, after.Token)

	n.client.loseCommit, n.client.lateBy = true, 500*time.Millisecond
	_, err = n.Renumber(ctx)
	require.ErrorIs(t, err, errNoResponse)
	c.run(time.Second)
	late, ok := n.Term(c.now)
	require.True(t, ok)
	require.Greater(t, late.Token, lost.Token, "adopted when the copy shows it")

	c.run(5 * time.Second)
	require.Equal(t, 0, c.holder())
	_, err = c.nodes[1].Renumber(ctx)
	held := (*NotHeldError)(nil)
	require.ErrorAs(t, err, &held)
	c.store.endLease(c.store.items[testKey].lease)
	_, err = n.Renumber(ctx)
	require.ErrorAs(t, err, &held)
}

// Guards against a duty that is not acquired or kept by the real clock and timers, and against goroutines that are left.
func TestRunHoldsTheDuty(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := newCluster(t, 1)
	n := c.nodes[0]
	n.Now, n.Separation = nil, 10*time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	n.Apply(time.Now(), feed.Update{Full: true, Revision: 5})
	held := func() bool {
		_, ok := n.Term(steady.Now())
		return ok
	}
	require.Eventually(t, held, 10*time.Second, 10*time.Millisecond)
	time.Sleep(duty.LeaseTTL)
	require.True(t, held(), "renewed")
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.False(t, held())
	require.Equal(t, 1, n.client.calls["revoke"])
}

// Guards against a holder that is replaced at a graceful stop only after its lease.
func TestRunStopsGracefully(t *testing.T) {
	c := newRunningCluster(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, c.nodes[0].Run(ctx), context.Canceled)
	c.nodes[0].stopped = true
	require.Equal(t, 1, c.await(time.Second))
}

// Guards against a key of an earlier or a later build that is not recognised as another holder's.
func TestKeysOfOtherBuilds(t *testing.T) {
	for _, value := range []string{`{"instance":"x","address":"10.0.0.9:1","nonce":"q","term":3,"later":[{}]}`, `x`, ``} {
		c := newCluster(t, 1)
		c.store.revision++
		c.store.items[testKey] = storedItem{value: []byte(value), revision: c.store.revision}
		c.run(10 * time.Second)
		require.Equal(t, -1, c.holder())
		require.Empty(t, c.nodes[0].client.calls)
		delete(c.store.items, testKey)
		c.store.revision++
		c.await(time.Second)
	}
}

// Guards against updates that name the key's change and are missed, and against those without it that end the term.
func TestApplyOfPartialUpdates(t *testing.T) {
	c := newRunningCluster(t, 1)
	n := c.nodes[0]
	revision := c.store.items[testKey].revision
	n.Apply(c.now, feed.Update{Revision: revision + 3, Changed: []feed.Item{{Key: "x", Revision: revision + 3}}, Removed: []string{"y"}})
	n.Apply(c.now, feed.Update{Revision: revision - 1, Removed: []string{testKey}})
	_, ok := n.Term(c.now)
	require.True(t, ok)
	n.Apply(c.now, feed.Update{Revision: revision + 4, Removed: []string{testKey}})
	_, ok = n.Term(c.now)
	require.False(t, ok)
}

// suspendOverRestore suspends the holder until another instance has held the duty, and then restores the store to the
// state in which the suspended one held the key.
func (c *cluster) suspendOverRestore(t *testing.T) {
	held := c.now
	c.nodes[0].frozen = true
	for end, ok := c.now.Add(takeover), false; !ok && c.now.Before(end); {
		c.tick()
		_, ok = c.nodes[1].Term(c.now)
	}
	require.True(t, c.store.restore(held))
	c.nodes[0].frozen = false
}

// Guards against a holder that acts before and after another one, because it was suspended between the readings of the
// clock and the era: a restore after the end of its lease must not count as one within it.
func TestSuspensionBeforeARestoreIsRead(t *testing.T) {
	c := newRunningCluster(t, 2)
	n, suspended := c.nodes[0], false
	era := n.Era
	n.Era = func() int64 {
		if !suspended {
			suspended = true
			c.suspendOverRestore(t)
			n.client.era = c.store.era
		}
		return era()
	}
	// The cluster fails if an instance acts again after another one.
	n.Step(context.Background(), c.now)
	c.run(2 * separation)
	require.True(t, suspended)
}

// Guards against a holder that acts before and after another one, because the key is as it left it again after a restore
// that its copy of the store does not show yet.
func TestSuspensionOverAnUnknownRestore(t *testing.T) {
	for _, eraKnown := range []bool{false, true} {
		c := newRunningCluster(t, 2)
		c.suspendOverRestore(t)
		if eraKnown {
			c.nodes[0].client.era = c.store.era
		}
		c.nodes[0].Step(context.Background(), c.now)
		if term, ok := c.nodes[0].Term(c.now); ok {
			c.send(0, term.Token)
		}
		c.run(2 * separation)
	}
}

// Guards against a key that blocks the other candidates until its lease expires, since its holder was stopped before the
// response to the winning write came.
func TestStopDuringTheWinningWrite(t *testing.T) {
	c := newCluster(t, 1)
	n := c.nodes[0]
	n.client.loseCommit = true
	// A step makes one call if its context has ended.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for end := c.now.Add(3 * separation); c.store.items[testKey].revision == 0 && c.now.Before(end); c.now = c.now.Add(tick) {
		c.store.advance(c.now)
		c.copyTo(n)
		n.Step(ctx, c.now)
	}
	require.NotZero(t, c.store.items[testKey].revision)
	n.stop(context.Background())
	require.Zero(t, c.store.items[testKey].revision)
}
