package duty

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against two holders with one token, a token that goes back at one holder, and holders in the order A, B, A, under
// random faults of the processes, the store and the platform; and against a duty that stays without a holder after them.
func TestDutyUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 4).Draw(t, "instances"))
		highest := map[*node]int64{}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			c.randomFault(t)
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				c.tick()
				for _, n := range c.nodes {
					if term, ok := n.Term(c.now); ok && !n.frozen && !n.stopped {
						require.GreaterOrEqual(t, term.Token, highest[n])
						highest[n] = term.Token
					}
				}
			}
		}
		c.heal()
		c.run(15 * time.Second)
		require.GreaterOrEqual(t, c.holder(), 0, "the duty has a holder again")
	})
}

func (c *cluster) randomFault(t *rapid.T) {
	i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "instance")
	// A fault of the holder is more likely to matter.
	if h := c.holder(); h >= 0 && rapid.Bool().Draw(t, "holder") {
		i = h
	}
	n := c.nodes[i]
	switch rapid.SampledFrom([]string{"cut", "freeze", "kill", "stop", "lose", "late", "restore", "renumber", "platform", "delay", "none"}).Draw(t, "fault") {
	case "cut":
		n.client.cut = !n.client.cut
	case "freeze":
		n.frozen = !n.frozen
		if term, ok := n.Term(c.now); n.frozen && ok {
			n.pending = term.Token
		}
	case "kill":
		c.start(i)
	case "stop":
		if !n.frozen {
			n.stop(context.Background())
			c.start(i)
		}
	case "lose":
		n.client.loseCommit, n.client.lateBy = true, 0
	case "late":
		n.client.loseCommit, n.client.lateBy = true, time.Duration(rapid.IntRange(1, 80).Draw(t, "late"))*tick
	case "restore":
		c.store.restore(c.now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * tick))
	case "renumber":
		if !n.frozen {
			_, _ = n.Renumber(context.Background())
		}
	case "platform":
		c.platformCut[i] = !c.platformCut[i]
	case "delay":
		c.callDelay = time.Duration(rapid.IntRange(0, 30).Draw(t, "delay")) * tick
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	clear(c.platformCut)
	c.callDelay = 0
	for _, n := range c.nodes {
		n.client.cut, n.client.loseCommit, n.frozen = false, false, false
	}
}
