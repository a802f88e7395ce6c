package server

import (
	"hash/maphash"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/generation"
)

const (
	gapShards = 16
	// maxGapsPerShard bounds the estimates held to about 8 MiB in all.
	maxGapsPerShard = 512
	// gapBatch is the number of samples that a stream collects before it takes a lock.
	gapBatch = 32
)

// gapKey names what token times are estimated for; an empty target means all of the version.
type gapKey struct{ entry, version, target string }

// gaps is one estimate under its own lock.
type gaps struct {
	mu       sync.Mutex
	estimate generation.TimeoutEstimator
}

func (g *gaps) patience(base generation.Timeouts) generation.Timeouts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimate.Timeouts(base)
}

func (g *gaps) add(next []time.Duration, first time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range next {
		g.estimate.ObserveGap(d)
	}
	if first > 0 {
		g.estimate.ObserveFirstToken(first)
	}
}

// gapTable holds the estimates of token times in shards.
type gapTable struct {
	shards [gapShards]struct {
		mu   sync.Mutex
		gaps map[gapKey]*gaps
	}
}

func (t *gapTable) of(k gapKey) *gaps {
	s := &t.shards[maphash.Comparable(memorySeed, k)%gapShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gaps[k]; g != nil {
		return g
	}
	if s.gaps == nil {
		s.gaps = map[gapKey]*gaps{}
	}
	for old := range s.gaps {
		if len(s.gaps) < maxGapsPerShard {
			break
		}
		delete(s.gaps, old)
	}
	g := &gaps{}
	s.gaps[k] = g
	return g
}

// patience returns the timeouts for a target: its own, or those of its version until it has enough samples.
func (t *gapTable) patience(k gapKey, base generation.Timeouts) generation.Timeouts {
	all := t.of(gapKey{entry: k.entry, version: k.version}).patience(base)
	return t.of(k).patience(all)
}

// sampler collects the token times of one stream.
type sampler struct {
	target string
	n      int
	next   [gapBatch]time.Duration
}

// measure takes in what a delivered token tells about its target.
func (st *stream) measure(a generation.Action) {
	sm := &st.sampler
	if sm.target != st.core.Target || sm.n == gapBatch {
		st.flushSamples(0)
		sm.target = st.core.Target
	}
	if a.Gap > 0 {
		sm.next[sm.n] = a.Gap
		sm.n++
	}
	if a.FirstToken > 0 {
		st.flushSamples(a.FirstToken)
	}
}

func (st *stream) flushSamples(first time.Duration) {
	sm := &st.sampler
	if sm.n == 0 && first == 0 {
		return
	}
	k := gapKey{entry: st.entry.Name, version: st.wire.Version}
	st.server.gaps.of(k).add(sm.next[:sm.n], first)
	k.target = sm.target
	st.server.gaps.of(k).add(sm.next[:sm.n], first)
	sm.n = 0
}
