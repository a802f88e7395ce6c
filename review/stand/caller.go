package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one requester attempt.
type request struct {
	id       string
	method   string
	path     string
	key      string
	parts    string
	tokens   string
	body     []byte
	timeout  time.Duration
	sentAt   time.Time
	instance *instance
	// channel is the kept channel that the request uses; nil means a new one.
	channel *http.Transport
}

// answer is what a caller got.
type answer struct {
	status int
	sealed bool
	whole  bool
	body   string
	err    error
	took   time.Duration
}

func (a *answer) served() bool { return a.status == http.StatusOK && a.sealed && a.whole }

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, sealed %t, broken off: %v (%d ms)", a.status, a.sealed, a.err, a.took.Milliseconds())
	}
	text := ""
	if a.status != http.StatusOK {
		text = " " + a.body
	}
	return fmt.Sprintf("status %d, sealed %t, %d B%s (%d ms)", a.status, a.sealed, len(a.body), text, a.took.Milliseconds())
}

var requestCount atomic.Int64

// newID returns the id of a requester attempt.
func newID(kind string) string {
	return fmt.Sprintf("%s-%05d", kind, requestCount.Add(1))
}

// newChannel returns a channel that is kept for further requests.
func newChannel() *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
}

// send sends a request and reads the whole answer.
func (d *deployment) send(r *request) *answer {
	r.sentAt = time.Now()
	if r.id == "" {
		r.id = newID("r")
	}
	d.mu.Lock()
	d.sentTo[r.id] = r.instance
	d.mu.Unlock()
	d.record.Printf("sent %s to %s %s %d B", r.id, r.instance.name, r.path, len(r.body))
	a := exchange(r)
	a.took = time.Since(r.sentAt)
	d.record.Printf("answered %s: %s", r.id, a)
	return a
}

func exchange(r *request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.instance.front()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return &answer{err: err}
	}
	req.Host = host
	h := req.Header
	h.Set("X-Bambooferry-Request-Id", r.id)
	h.Set("X-Bambooferry-Request-Deadline", fmt.Sprint(r.timeout.Milliseconds()))
	h.Set("Authorization", "Bearer "+r.key)
	if r.parts != "" {
		h.Set("X-Bambooferry-Model", "m")
		h.Set("X-Bambooferry-Token-Count", r.tokens)
		h.Set("X-Bambooferry-Prompt-Prefix", r.parts)
	}
	transport := r.channel
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
		defer transport.CloseIdleConnections()
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := &answer{status: res.StatusCode, sealed: res.Header.Get("X-Bambooferry-Response-Seal") != ""}
	body, err := io.ReadAll(res.Body)
	a.body, a.err, a.whole = strings.TrimSpace(string(body)), err, err == nil
	return a
}
