package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// successorProbeInterval is the mean time between two attempts to reach a lost target's
	// address; a restart takes a second or more.
	successorProbeInterval = 250 * time.Millisecond
	// successorProbeTimeout bounds the wait for the response: some round trips within a region.
	successorProbeTimeout = 100 * time.Millisecond
)

// findSuccessor probes a lost target's address for the next incarnation, for as long as a response
// proves that it belongs to the same pool. Entries arrive later, or not at all while their source
// is unavailable.
func (r *Relay) findSuccessor(p *pool, t route.Target, lastHeardAt time.Time) {
	deadline, ok := p.beginSuccessorSearch(time.Now(), t, lastHeardAt)
	if !ok {
		return
	}
	r.startProbe(func() {
		defer p.endSuccessorSearch(t.ID)
		ctx, cancel := context.WithDeadline(r.probeContext, deadline)
		defer cancel()
		for {
			pause := time.NewTimer(successorProbeInterval/2 + rand.N(successorProbeInterval))
			select {
			case <-pause.C:
			case <-ctx.Done():
				pause.Stop()
				return
			}
			if !p.isLatestAtAddress(t) {
				return
			}
			id, err := r.incarnationAt(ctx, p, t)
			now := time.Now()
			if err != nil || id == "" {
				continue
			}
			if id != t.ID && p.confirmSuccessor(now, t, id, lastHeardAt) {
				r.Log.Write(now, timeline.Event{
					Kind: "target_succeeded", Target: id, Entry: t.Pool, Version: t.Version, Why: t.ID,
					Inputs: []timeline.Input{{Name: "last_heard_ms", Value: now.Sub(lastHeardAt).Milliseconds()}},
				})
			}
			return
		}
	})
}

// incarnationAt asks which incarnation is at a target's address.
func (r *Relay) incarnationAt(ctx context.Context, p *pool, t route.Target) (string, error) {
	c, err := r.targetConns.dialKnownPath(ctx, t)
	if err != nil {
		return "", err
	}
	c.nextCheck, c.onSilence = time.Now().Add(successorProbeTimeout), nil
	h := http.Header{"User-Agent": {""}}
	r.Codec.SetAttemptHeaders(h, AttemptInfo{ExpectedIncarnation: t.ID, Remaining: successorProbeTimeout})
	res, err := c.roundTrip(&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: t.Address.String(), Path: p.healthCheckPath()}, Host: t.Address.String(),
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	})
	if err != nil {
		return "", errors.CombineErrors(err, c.Close())
	}
	info := r.Codec.ParseResponse(time.Now(), res)
	complete := discardBody(res.Body)
	if !complete || res.Close || !hasExplicitEnd(res) {
		_ = c.Close()
	} else {
		r.targetConns.put(time.Now(), c, info.KeepAlive)
	}
	if !complete {
		return "", &ResponseError{Rule: "health_body"}
	}
	return info.Incarnation, nil
}

// beginSuccessorSearch starts the search for a target's successor; it returns false if none can be
// found.
func (p *pool) beginSuccessorSearch(now time.Time, t route.Target, lastHeardAt time.Time) (deadline time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healthPath == "" || t.Leaving || p.availability.IsLeaving(t) || !p.availability.BackoffEnd(now, t.ID).IsZero() || p.searchingSuccessor[t.ID] || p.findTarget(t.ID).ID == "" || !p.successors.ProvesSamePool(now, lastHeardAt) {
		return time.Time{}, false
	}
	p.searchingSuccessor[t.ID] = true
	p.limits.Take(now, t, p.instanceCount())
	return p.successors.ProofDeadline(lastHeardAt), true
}

func (p *pool) endSuccessorSearch(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.searchingSuccessor, id)
}

// isLatestAtAddress reports whether a target is the latest one known at its address.
func (p *pool) isLatestAtAddress(t route.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.findTarget(t.ID).ID == "" {
		return false
	}
	for i := range p.targets {
		if p.targets[i].Address == t.Address && p.targets[i].ID != t.ID {
			return false
		}
	}
	return true
}

// confirmSuccessor adds the incarnation that responded at a target's address, if the response
// proves that it belongs to the pool.
func (p *pool) confirmSuccessor(now time.Time, t route.Target, id string, lastHeardAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.successors.ProvesSamePool(now, lastHeardAt) || p.findTarget(t.ID).ID == "" {
		return false
	}
	p.addSuccessor(now, t, id, true)
	p.notifyProgressChanged()
	return true
}

// addSuccessor replaces a target with its successor; the caller holds mu.
func (p *pool) addSuccessor(now time.Time, t route.Target, id string, proved bool) {
	known := p.findTarget(id).ID != ""
	p.successors.Add(now, t, id, proved)
	if known {
		return
	}
	p.exclude(t.ID)
	p.targets = p.successors.MergeInto(now, p.listedTargets)
}

// RecordRemoval records that the entry of a target was removed, so that it is not used as a successor either.
func (r *TargetRegistry) RecordRemoval(now time.Time, id string) {
	for _, p := range r.allPools() {
		p.mu.Lock()
		p.successors.RecordRemoval(now, id)
		p.mu.Unlock()
	}
}

func (p *pool) healthCheckPath() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthPath
}
