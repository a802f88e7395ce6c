package booking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The conditions under which a guilty request crashes its targets.
const (
	onAcceptance = "take-up"
	atPosition   = "position"
	afterTime    = "time"
)

// generationTrial is a pool whose targets run long generations and crash at random, together, or
// because of one request.
//
// The requests of a crashed target continue at other targets from their last position.
type generationTrial struct {
	targets, requestsPerTarget int
	// crashesPerHour is the mean number of random crashes of one target per hour.
	crashesPerHour float64
	// halfCrash makes half of the targets crash within spread, halfway through the trial.
	halfCrash bool
	spread    time.Duration
	// sentTogether is the share of a crashed target's requests that are sent to the guilty
	// request's next target or, without one, to one common target.
	sentTogether float64
	// guiltyCrash is the condition under which the guilty request crashes its targets, if there is
	// one.
	guiltyCrash string
	// copies is the number of copies of the guilty request that are sent at once; it is sent again
	// after each crash.
	copies int
}

const (
	tokenTime   = 38 * time.Millisecond
	firstTime   = 300 * time.Millisecond
	meanLength  = 2 * time.Minute
	trialLength = 10 * time.Minute
	maxKills    = 4
)

// runningRequest is a request at a target.
type runningRequest struct {
	digest string
	// startPosition is the position from which the target continued the request, which it accepted
	// at acceptedAt.
	startPosition uint64
	acceptedAt    time.Duration
	endsAt        time.Duration
}

// reportAt returns what an instance knows of the request at a time; the last few tokens may not
// have arrived.
func (r *runningRequest) reportAt(now time.Duration, rng *rand.Rand) CrashRequest {
	age := now - r.acceptedAt
	n := uint64(0)
	if age > firstTime {
		n = uint64((age - firstTime) / tokenTime)
	}
	n -= min(n, rng.Uint64N(4))
	report := CrashRequest{Digest: r.digest, Position: r.startPosition + n, AgeMillis: age.Milliseconds(), Output: n > 0}
	if report.Output {
		report.FirstMillis = firstTime.Milliseconds()
	}
	return report
}

type generationRun struct {
	generationTrial
	rng          *rand.Rand
	detector     CrashDetector
	running      map[int][]runningRequest
	returnsAt    map[int]time.Duration
	newRequests  int
	blamed       int
	moved        int
	kills        int
	marked       bool
	guiltyTarget int
	killAt       time.Duration
}

// exponential returns an exponentially distributed time with the given mean.
func (r *generationRun) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.rng.ExpFloat64() * float64(mean))
}

// pickTarget returns a random target that is up.
func (r *generationRun) pickTarget(now time.Duration) int {
	for {
		if t := r.rng.IntN(r.targets); now >= r.returnsAt[t] {
			return t
		}
	}
}

// placeGuilty sends the guilty request to a target, which it will crash.
func (r *generationRun) placeGuilty(now time.Duration, position uint64) {
	const crashPosition, crashTime = 700, 9 * time.Second
	r.guiltyTarget = r.pickTarget(now)
	r.running[r.guiltyTarget] = append(r.running[r.guiltyTarget], runningRequest{digest: hashParts("guilty"), startPosition: position, acceptedAt: now, endsAt: math.MaxInt64})
	switch r.guiltyCrash {
	case onAcceptance:
		r.killAt = now + 50*time.Millisecond
	case atPosition:
		r.killAt = now + firstTime + time.Duration(crashPosition-min(position, crashPosition))*tokenTime
	case afterTime:
		r.killAt = now + crashTime + time.Duration(r.rng.Int64N(int64(100*time.Millisecond)))
	}
}

// crashTarget ends a target, reports the crash and moves its requests to other targets.
func (r *generationRun) crashTarget(now time.Duration, target int) {
	if now < r.returnsAt[target] {
		return
	}
	r.returnsAt[target] = now + 30*time.Second
	c := Crash{Target: fmt.Sprint(target), At: time.Unix(1000, 0).Add(now).UnixMilli()}
	var running, notYetSent []runningRequest
	for _, g := range r.running[target] {
		switch {
		case g.acceptedAt > now:
			notYetSent = append(notYetSent, g)
		case g.endsAt > now:
			running = append(running, g)
		}
	}
	for len(running) < r.requestsPerTarget {
		r.newRequests++
		age := r.exponential(meanLength)
		running = append(running, runningRequest{digest: hashParts("fresh", fmt.Sprint(r.newRequests)), acceptedAt: now - age, endsAt: now + r.exponential(meanLength)})
	}
	delete(r.running, target)
	guilty, position := false, uint64(0)
	for _, g := range notYetSent {
		if g.digest == hashParts("guilty") {
			guilty, position = true, g.startPosition
		}
	}
	for i := range running {
		report := running[i].reportAt(now, r.rng)
		c.Requests = append(c.Requests, report)
		if report.Digest == hashParts("guilty") {
			guilty, position = true, report.Position
		}
		running[i].startPosition = report.Position
	}
	at := time.Unix(1000, 0).Add(now)
	for _, d := range r.detector.RecordCrash(at, c) {
		if d != hashParts("guilty") {
			r.blamed++
		}
	}
	if guilty {
		if now == r.killAt {
			r.kills++
		}
		r.killAt = math.MaxInt64
	}
	r.moveRequests(now, append(running, notYetSent...), guilty && !r.detector.IsMarked(at, hashParts("guilty")) && r.kills < maxKills, position)
}

// moveRequests continues the requests of a crashed target at others.
func (r *generationRun) moveRequests(now time.Duration, requests []runningRequest, guilty bool, position uint64) {
	resumeTime := func() time.Duration {
		return now + 5*time.Millisecond + time.Duration(r.rng.Int64N(int64(100*time.Millisecond)))
	}
	commonTarget := r.pickTarget(now)
	if guilty {
		if r.copies > 1 {
			position = 0
		}
		r.placeGuilty(resumeTime(), position)
		commonTarget = r.guiltyTarget
	}
	for _, g := range requests {
		if g.digest == hashParts("guilty") {
			continue
		}
		t := r.pickTarget(now)
		if r.rng.Float64() < r.sentTogether {
			t = commonTarget
		}
		g.acceptedAt = resumeTime()
		r.running[t] = append(r.running[t], g)
		r.moved++
	}
}

// run runs one trial.
func (c generationTrial) run(seed uint64, compare func(a, b CrashRequest) evidence) *generationRun {
	r := &generationRun{
		generationTrial: c, rng: rand.New(rand.NewPCG(seed, 7)), running: map[int][]runningRequest{}, returnsAt: map[int]time.Duration{},
		detector: CrashDetector{Retention: 10 * time.Minute, MaxCrashes: 64, compare: compare}, killAt: math.MaxInt64,
	}
	type scheduledCrash struct {
		at     time.Duration
		target int
	}
	var unrelated []scheduledCrash
	for t := range c.targets {
		for at := time.Duration(0); c.crashesPerHour > 0; {
			if at += r.exponential(time.Duration(float64(time.Hour) / c.crashesPerHour)); at > trialLength {
				break
			}
			unrelated = append(unrelated, scheduledCrash{at, t})
		}
	}
	if c.halfCrash {
		for _, t := range r.rng.Perm(c.targets)[:c.targets/2] {
			unrelated = append(unrelated, scheduledCrash{trialLength/2 + time.Duration(r.rng.Int64N(int64(c.spread)+1)), t})
		}
	}
	if c.guiltyCrash != "" {
		r.placeGuilty(time.Minute+time.Duration(r.rng.Int64N(int64(time.Minute))), 0)
	}
	for {
		next := scheduledCrash{r.killAt, r.guiltyTarget}
		k := -1
		for i, d := range unrelated {
			if d.at < next.at {
				next, k = d, i
			}
		}
		if next.at > trialLength {
			return r
		}
		if k >= 0 {
			unrelated[k].at = math.MaxInt64
		}
		r.crashTarget(next.at, next.target)
	}
}

// The rules that were compared; only compareCrashes is in use.
var candidateRules = map[string]func(a, b CrashRequest) evidence{
	// Neither target had sent part of the response.
	"no output": func(a, b CrashRequest) evidence {
		if !a.Output && !b.Output {
			return crashesBeforeOutput
		}
		return noEvidence
	},
	// The second target crashed within a second of accepting the request.
	"soon after": func(a, b CrashRequest) evidence {
		switch {
		case !a.Output && !b.Output:
			return crashesBeforeOutput
		case b.AgeMillis <= 1000:
			return similarCrashes
		}
		return noEvidence
	},
	"alike": compareCrashes,
	// Any two crashes count.
	"any": func(CrashRequest, CrashRequest) evidence { return similarCrashes },
}

// TestCrashMarkGenerations guards against a rule that does not mark a request that crashes engines
// in mid-generation, and against one that blames long generations for unrelated crashes.
//
// The bounds apply to the rule in use; with BAMBOOFERRY_FIGURES=1 the rates of the others are
// logged as well.
func TestCrashMarkGenerations(t *testing.T) {
	const runs = 1000
	rules := []string{"alike"}
	if os.Getenv("BAMBOOFERRY_FIGURES") != "" {
		rules = []string{"no output", "soon after", "alike", "any"}
	}
	pool := generationTrial{targets: 25, requestsPerTarget: 8}
	with := func(f func(c *generationTrial)) generationTrial { c := pool; f(&c); return c }
	for _, c := range []struct {
		name  string
		trial generationTrial
		// The maximum shares of blamed generations among those moved, and of guilty requests not
		// marked at the second kill. By chance, one of 7 other requests moves to the same target in
		// 1-(23/24)^7 = 0.26 of runs, and cannot be told from a request that crashes at a position.
		maxBlamed, maxThirdKills float64
	}{
		{"crashes at take-up", with(func(c *generationTrial) { c.guiltyCrash = onAcceptance }), 0.001, 0.05},
		{"crashes at a position", with(func(c *generationTrial) { c.guiltyCrash = atPosition }), 0.001, 0.30},
		{"crashes after a time", with(func(c *generationTrial) { c.guiltyCrash = afterTime }), 0.001, 0.05},
		{"crashes at a position, sent anew", with(func(c *generationTrial) { c.guiltyCrash, c.copies = atPosition, 2 }), 0.001, 0.05},
		{"crashes at a position, half sent together", with(func(c *generationTrial) { c.guiltyCrash, c.sentTogether = atPosition, 0.5 }), 0.02, 1},
		{"crashes at a position, 1 chance crash/h", with(func(c *generationTrial) { c.guiltyCrash, c.crashesPerHour = atPosition, 1 }), 0.001, 0.30},
		{"innocent, 1 chance crash/day", with(func(c *generationTrial) { c.crashesPerHour = 1.0 / 24 }), 0.001, 0},
		{"innocent, 1 chance crash/h", with(func(c *generationTrial) { c.crashesPerHour = 1 }), 0.001, 0},
		{"innocent, 6 chance crashes/h", with(func(c *generationTrial) { c.crashesPerHour = 6 }), 0.005, 0},
		{"innocent, half crash at once", with(func(c *generationTrial) { c.halfCrash = true }), 0.005, 0},
		{"innocent, half crash within 1 s", with(func(c *generationTrial) { c.halfCrash, c.spread = true, time.Second }), 0.005, 0},
		{"innocent, half crash within 1 s, half sent together", with(func(c *generationTrial) { c.halfCrash, c.spread, c.sentTogether = true, time.Second, 0.5 }), 0.005, 0},
		{"innocent, half crash within 10 s", with(func(c *generationTrial) { c.halfCrash, c.spread = true, 10*time.Second }), 0.005, 0},
		{"innocent, 6 chance crashes/h, half sent together", with(func(c *generationTrial) { c.crashesPerHour, c.sentTogether = 6, 0.5 }), 0.005, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, rule := range rules {
				blamed, moved, third, missed := 0, 0, 0, 0
				for seed := range uint64(runs) {
					r := c.trial.run(seed, candidateRules[rule])
					blamed, moved = blamed+r.blamed, moved+r.moved
					if r.kills > 2 {
						third++
					}
					if r.kills >= maxKills {
						missed++
					}
				}
				share, thirds := float64(blamed)/float64(max(moved, 1)), float64(third)/runs
				t.Logf("%-10s blamed %.5f of %d moved generations; a third target crashed in %.4f and a fourth in %.4f of runs",
					rule, share, moved, thirds, float64(missed)/runs)
				if rule == "alike" {
					require.LessOrEqual(t, share, c.maxBlamed)
					require.LessOrEqual(t, thirds, c.maxThirdKills)
				}
			}
		})
	}
}

// TestEarlyCrashIsUnrelated guards against blaming a generation when an engine crashes just after
// it took the generation over from another crashed engine.
func TestEarlyCrashIsUnrelated(t *testing.T) {
	first := CrashRequest{Position: 400, AgeMillis: 16_000, Output: true, FirstMillis: 300}
	for name, c := range map[string]struct {
		second CrashRequest
		want   evidence
	}{
		"just after take-up":            {CrashRequest{Position: 400, AgeMillis: 20}, noEvidence},
		"in the prefill":                {CrashRequest{Position: 400, AgeMillis: 149}, noEvidence},
		"at the first token":            {CrashRequest{Position: 400, AgeMillis: 300}, similarCrashes},
		"with the prefix in the cache":  {CrashRequest{Position: 400, AgeMillis: 151}, similarCrashes},
		"a few tokens on":               {CrashRequest{Position: 407, AgeMillis: 500, Output: true, FirstMillis: 300}, similarCrashes},
		"further on":                    {CrashRequest{Position: 430, AgeMillis: 1500, Output: true, FirstMillis: 300}, noEvidence},
		"after the same time, from 400": {CrashRequest{Position: 800, AgeMillis: 16_200, Output: true, FirstMillis: 300}, similarCrashes},
	} {
		require.Equal(t, c.want, compareCrashes(first, c.second), name)
	}
}

// TestMarkIsDroppedOnCommonCause guards against a mark that stays although its crash turns out to
// be one of many at once.
func TestMarkIsDroppedOnCommonCause(t *testing.T) {
	s, now := CrashDetector{Retention: time.Minute, MaxCrashes: 8}, time.Unix(1000, 0)
	report := func(target string, digests ...string) []string {
		now = now.Add(10 * time.Millisecond)
		return s.RecordCrash(now, Crash{Target: target, At: now.UnixMilli(), Requests: requestsWithoutOutput(digests...)})
	}
	x := hashParts("x")
	report("a", x)
	require.Equal(t, []string{x}, report("b", x))
	require.Empty(t, report("c", hashParts("y")))
	require.False(t, s.IsMarked(now, x))
	require.Empty(t, report("b", x), "the same crash must not mark it again")
	require.Empty(t, report("d", x))
}
