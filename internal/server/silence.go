package server

import (
	"hash/maphash"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	gapShards = 16
	// maxGapsPerShard bounds the estimates to about 8 MiB in total.
	maxGapsPerShard = 512
	// gapBatch is the number of samples that a stream collects before it takes the estimate's lock.
	gapBatch = 32
)

// gapKey identifies what token times are estimated for; an empty target means all targets of the version.
type gapKey struct{ entry, version, target string }

// gapEstimate is one estimate with its lock.
type gapEstimate struct {
	mu       sync.Mutex
	estimate generation.TimeoutEstimator
}

func (g *gapEstimate) silenceTimeouts(base generation.Timeouts) generation.Timeouts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimate.Timeouts(base)
}

func (g *gapEstimate) add(next []time.Duration, first time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range next {
		g.estimate.ObserveGap(d)
	}
	if first > 0 {
		g.estimate.ObserveFirstToken(first)
	}
}

// gapTable holds the estimates of token times by target and by version, in shards.
type gapTable struct {
	shards [gapShards]struct {
		mu   sync.Mutex
		gaps map[gapKey]*gapEstimate
	}
}

func (t *gapTable) estimateFor(k gapKey) *gapEstimate {
	s := &t.shards[maphash.Comparable(memorySeed, k)%gapShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gaps[k]; g != nil {
		return g
	}
	if s.gaps == nil {
		s.gaps = map[gapKey]*gapEstimate{}
	}
	for old := range s.gaps {
		if len(s.gaps) < maxGapsPerShard {
			break
		}
		delete(s.gaps, old)
	}
	g := &gapEstimate{}
	s.gaps[k] = g
	return g
}

// silenceTimeouts returns the timeouts for a target: its own, or those of its version until it has enough samples.
func (t *gapTable) silenceTimeouts(k gapKey, base generation.Timeouts) generation.Timeouts {
	all := t.estimateFor(gapKey{entry: k.entry, version: k.version}).silenceTimeouts(base)
	return t.estimateFor(k).silenceTimeouts(all)
}

// gapSampler collects the token times of one stream.
type gapSampler struct {
	target string
	count  int
	gaps   [gapBatch]time.Duration
}

// recordGap records the token times of a delivered token's target.
func (st *stream) recordGap(a generation.Action) {
	sm := &st.sampler
	if sm.target != st.core.Target || sm.count == gapBatch {
		st.flushSamples(0)
		sm.target = st.core.Target
	}
	if a.Gap > 0 {
		sm.gaps[sm.count] = a.Gap
		sm.count++
	}
	if a.FirstToken > 0 {
		st.flushSamples(a.FirstToken)
	}
}

func (st *stream) flushSamples(first time.Duration) {
	sm := &st.sampler
	if sm.count == 0 && first == 0 {
		return
	}
	k := gapKey{entry: st.entry.Name, version: st.engineRequest.Version}
	st.server.tokenGaps.estimateFor(k).add(sm.gaps[:sm.count], first)
	k.target = sm.target
	st.server.tokenGaps.estimateFor(k).add(sm.gaps[:sm.count], first)
	sm.count = 0
}
