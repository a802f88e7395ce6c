package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// knockEvery is the mean time between two attempts to reach a lost target's address; a
	// restart takes a second or more.
	knockEvery = 250 * time.Millisecond
	// knockAnswer bounds the wait for the answer: some round trips of a region.
	knockAnswer = 100 * time.Millisecond
)

// awaitSuccessor looks for the next incarnation at a lost target's address while its answer proves
// that it belongs to the same pool. Entries come later, or not at all while the source is away.
func (r *Relay) awaitSuccessor(p *pool, t route.Target, heard time.Time) {
	deadline, ok := p.await(time.Now(), t, heard)
	if !ok {
		return
	}
	r.search(func() {
		defer p.awaited(t.ID)
		ctx, cancel := context.WithDeadline(r.background, deadline)
		defer cancel()
		for {
			pause := time.NewTimer(knockEvery/2 + rand.N(knockEvery))
			select {
			case <-pause.C:
			case <-ctx.Done():
				pause.Stop()
				return
			}
			if !p.latest(t) {
				return
			}
			id, err := r.incarnationAt(ctx, p, t)
			now := time.Now()
			if err != nil || id == "" {
				continue
			}
			if id != t.ID && p.succeed(now, t, id, heard) {
				r.Log.Write(now, timeline.Event{
					Kind: "target_succeeded", Target: id, Entry: t.Pool, Version: t.Version, Why: t.ID,
					Inputs: []timeline.Input{{Name: "last_heard_ms", Value: now.Sub(heard).Milliseconds()}},
				})
			}
			return
		}
	})
}

// incarnationAt asks which incarnation is at a target's address.
func (r *Relay) incarnationAt(ctx context.Context, p *pool, t route.Target) (string, error) {
	c, err := r.conns.dial(ctx, t.Address)
	if err != nil {
		return "", err
	}
	c.wake, c.silence = time.Now().Add(knockAnswer), nil
	h := http.Header{"User-Agent": {""}}
	r.Codec.Attempt(h, Attempt{Expect: t.ID, Left: knockAnswer})
	res, err := c.exchange(&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: t.Address.String(), Path: p.probePath()}, Host: t.Address.String(),
		Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	})
	if err != nil {
		return "", errors.CombineErrors(err, c.Close())
	}
	a := r.Codec.Answer(time.Now(), res)
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBuffered)); err != nil || res.Close || !framed(res) {
		_ = c.Close()
	} else {
		r.conns.put(time.Now(), c, a.KeepAlive)
	}
	return a.Incarnation, nil
}

// await begins the search for a target's successor; it returns false if there is none to be found.
func (p *pool) await(now time.Time, t route.Target, heard time.Time) (deadline time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healthPath == "" || t.Leaving || p.awaiting[t.ID] || p.find(t.ID).ID == "" || !p.successors.Proves(now, heard) {
		return time.Time{}, false
	}
	p.awaiting[t.ID] = true
	return p.successors.Deadline(heard), true
}

func (p *pool) awaited(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaiting, id)
}

// latest reports whether a target is the last one known at its address.
func (p *pool) latest(t route.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.find(t.ID).ID == "" {
		return false
	}
	for i := range p.targets {
		if p.targets[i].Address == t.Address && p.targets[i].ID != t.ID {
			return false
		}
	}
	return true
}

// succeed takes in the incarnation that answered at a target's address, if its answer proves that it is of the pool.
func (p *pool) succeed(now time.Time, t route.Target, id string, heard time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.successors.Proves(now, heard) || p.find(t.ID).ID == "" {
		return false
	}
	p.join(now, t, id, true)
	p.tell()
	return true
}

// join puts a target's successor in its place; the caller holds mu.
func (p *pool) join(now time.Time, t route.Target, id string, own bool) {
	known := p.find(id).ID != ""
	p.successors.Add(now, t, id, own)
	if known {
		return
	}
	p.leaveOut(t.ID)
	p.targets = p.successors.Join(now, p.listed)
}

func (p *pool) probePath() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healthPath
}
