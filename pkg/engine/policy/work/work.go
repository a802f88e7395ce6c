package work

import (
	"math/rand/v2"
	"time"

	"bambooferry.example/bambooferry/pkg/engine/policy"
)

// Name is the policy's name in the registry.
const Name = "expected_work"

const (
	// minSample and maxSample bound the number of random candidates that are compared, so that instances with the same old
	// data do not all choose the same target.
	minSample = 4
	maxSample = 16
	// hiddenShare is the share of the requests without output that are not yet known here, since messages take up to 300 ms
	// and a first output usually over a second. Each of them has gone to one of the best of a sample, so that samples must
	// be the smaller, the more hidden requests there are for a candidate. Samples of 16 with 14 to 27 hidden requests for
	// 120 engines made 95 in 100 times to the first event 12 to 45% longer than samples of 4 to 6.
	hiddenShare = 0.25
	// maxSearch is the number of candidates that are looked at if none of the first ones has room and keeps the objective.
	maxSearch = 256
	// tieShare is the random part that is added to scores, so that instances with the same data choose different ones of
	// similar targets.
	tieShare = 0.05
	// minWeight keeps the score of an unhealthy target finite.
	minWeight = 0.01
)

func init() {
	policy.Register(Name, func(seed uint64) policy.Policy {
		p := &picker{rng: rand.New(rand.NewPCG(seed, 5))}
		return policy.Func(p.pick)
	})
}

type picker struct{ rng *rand.Rand }

// rank orders candidates: by group, then by score.
type rank struct {
	group group
	score float64
}

type group int

const (
	inTime group = iota
	late
	full
)

func (r rank) less(o rank) bool {
	return r.group < o.group || r.group == o.group && r.score < o.score
}

func (p *picker) pick(_ time.Time, list []policy.Candidate) int {
	best, bestRank := -1, rank{}
	first, step := policy.RandomOrder(p.rng, len(list))
	size := sampleSize(list)
	for n := range min(maxSearch, len(list)) {
		if n >= size && bestRank.group == inTime {
			break
		}
		i := (first + n*step) % len(list)
		if r := p.rank(&list[i]); best < 0 || r.less(bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}

// sampleSize returns the number of candidates that are compared.
func sampleSize(list []policy.Candidate) int {
	pending := 0
	for i := range list {
		pending += list[i].Pending
	}
	hidden := hiddenShare * float64(max(pending, 1))
	return int(min(max(float64(len(list))/hidden, minSample), maxSample))
}

// rank rates a candidate: its score is the time in seconds that a request takes there and costs others. Without a
// prediction it is the number of requests there.
func (p *picker) rank(c *policy.Candidate) rank {
	r := rank{group: inTime, score: c.Load + 1}
	if c.Predict != nil {
		e := c.Predict(c)
		r.score = (e.Finish + e.DelayToOthers + c.RoundTrip).Seconds()
		switch {
		case !e.Fits:
			r.group = full
		case e.Late:
			r.group = late
		}
	}
	r.score *= (1 + tieShare*p.rng.Float64()) / max(c.Weight, minWeight)
	return r
}
