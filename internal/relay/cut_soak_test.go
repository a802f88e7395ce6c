package relay

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// soakCuts is how long cuts come in series, and soakRecovery the time after the last one in which all is served again.
	soakCuts     = 6 * time.Second
	soakRecovery = 2500 * time.Millisecond
)

// Guards against requests that run twice, get wrong bytes or are refused after they have run, and against relays that
// stay cut off, while cuts of single relays come in series and overlap with each other, with pauses of engines and
// with the loss of carriers.
func TestCutsInSeries(t *testing.T) {
	for _, seed := range cutSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if os.Getenv("SOAK_SEEDS") != "" {
				t.Parallel()
			}
			playCuts(t, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

// cutSeeds returns the seeds that the environment selects, or those of a file in testdata.
func cutSeeds(t *testing.T) []uint64 {
	t.Helper()
	var list []uint64
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		first, err := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64)
		require.NoError(t, err)
		for i := range uint64(n) {
			list = append(list, first+i)
		}
		return list
	}
	f, err := os.Open("testdata/cut_seeds.txt")
	require.NoError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		seed, err := strconv.ParseUint(strings.TrimSpace(lines.Text()), 10, 64)
		require.NoError(t, err)
		list = append(list, seed)
	}
	return list
}

// playCuts plays one seed: relays are cut in all ways, from all or some targets, for 0.1 to 2.5 s; carriers end.
func playCuts(t *testing.T, rng *rand.Rand) {
	relays, targets := 2+rng.IntN(4), 3+rng.IntN(5)
	engine := &fleetEngine{}
	f := startFleet(t, relays, engine.stubs(t, targets))
	var faults sync.WaitGroup
	startedAt := time.Now()
	add := func(name string, from, to time.Duration, begin, end func()) {
		t.Logf("%5.2f s to %5.2f s: %s", from.Seconds(), to.Seconds(), name)
		faults.Go(func() {
			time.Sleep(time.Until(startedAt.Add(from)))
			begin()
			time.Sleep(time.Until(startedAt.Add(to)))
			end()
		})
	}
	draw := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	for relay := range relays {
		for at := draw(0, 2*time.Second); at < soakCuts; at += draw(50*time.Millisecond, 2*time.Second) {
			mode := []cutMode{cutSilent, cutReset, cutNewConns}[rng.IntN(3)]
			lost := rng.Perm(targets)
			if rng.IntN(3) == 0 {
				lost = lost[:1+rng.IntN(targets)]
			}
			to := min(at+draw(100*time.Millisecond, 2500*time.Millisecond), soakCuts)
			add(fmt.Sprintf("relay %d loses %d of %d targets, %s", relay, len(lost), targets, mode), at, to, func() { f.cut(relay, mode, lost) }, func() { f.cut(relay, "", lost) })
			at = to
		}
	}
	for range rng.IntN(3) {
		relay, at := rng.IntN(relays), draw(time.Second, soakCuts-time.Second)
		add(fmt.Sprintf("relay %d carries nothing more", relay), at, at, func() { f.stopCarrying(relay) }, func() {})
	}
	list := f.runTraffic(60*time.Millisecond, soakCuts+soakRecovery+time.Second)
	faults.Wait()
	engine.requireSafe(t, list)
	served, sent, all := 0, 0, 0
	for i := range list {
		if list[i].served() {
			all++
		}
		if list[i].sentAt.Before(startedAt.Add(soakCuts + soakRecovery)) {
			continue
		}
		sent++
		if list[i].served() {
			served++
		}
	}
	t.Logf("%d relays, %d targets: %d of %d served, %d of %d after the cuts", relays, targets, all, len(list), served, sent)
	require.Equal(t, sent, served, "all requests are served once the cuts are over")
	for i, tr := range f.relays {
		require.Empty(t, tr.log.reasons(t, "request_marked"), "relay %d: no request crashes targets", i)
		require.Empty(t, tr.log.reasons(t, "part_marked"), "relay %d: no part of a prompt crashes targets", i)
	}
}
