package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleTime is the time in which engines spoil answers, garbledEngines the number of engines that do, of framingEngines, and
	// each garbleEach-th of their answers is spoiled then.
	garbleTime     = 5 * time.Second
	framingEngines = 5
	garbledEngines = 2
	garbleEach     = 50
	// framingCallers send calls one after another.
	framingCallers = 8
)

// playFraming lets some engines frame a few answers wrongly.
func playFraming(f *fleet, trouble bool) (bool, error) {
	if err := f.addEngines("desk", framingEngines); err != nil {
		return false, err
	}
	var garbling atomic.Bool
	var answers, garbled atomic.Int64
	for i, e := range f.engines {
		if i >= garbledEngines {
			e.answer = answerWhole
			continue
		}
		e.answer = func(e *engine, w io.Writer, r *http.Request, body []byte) bool {
			n := answers.Add(1)
			if !garbling.Load() || n%garbleEach != 0 {
				return answerWhole(e, w, r, body)
			}
			form := "HTTP/1.0 with chunks"
			if garbled.Add(1)%2 == 0 {
				form = "a length beside the chunks of half a body"
			}
			f.record.printf("engine %s answers %q with %s", e.id, r.Header.Get(headerID), form)
			answerGarbled(e, w, r, form)
			return false
		}
	}
	f.putConfig(1, []map[string]any{routeOf("once", "/once/", "unsafe", "desk"), routeOf("calls", "/calls/", "safe", "desk")}, []string{"desk"})
	if err := f.startInstances(2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), garbleTime+3*time.Second)
	defer cancel()
	time.AfterFunc(time.Second, func() { garbling.Store(trouble) })
	time.AfterFunc(time.Second+garbleTime, func() { garbling.Store(false) })
	var all sync.WaitGroup
	var successes, wrong atomic.Int64
	for worker := range framingCallers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := &request{id: fmt.Sprintf("framing-%d-%d", worker, n), method: http.MethodPost, target: "/once/log", key: mainKey, body: []byte("b")}
				if worker%2 == 0 {
					r.method, r.target, r.body = http.MethodGet, "/calls/status", nil
				}
				a := exchange(f.instances[n%len(f.instances)].front(), r, callPatience)
				if a.status != http.StatusOK || a.err != nil {
					f.record.printf("caller gets for %q: %s", r.id, a)
				} else if successes.Add(1); string(a.body) != wholeBody(r.id) {
					wrong.Add(1)
					f.record.printf("caller gets for %q a success with a wrong body: %s: %q, the engine's is %q", r.id, a, a.body, wholeBody(r.id))
				}
				sleep(ctx, 5*time.Millisecond)
			}
		})
	}
	all.Wait()
	f.record.printf("%d answers were spoiled; %d successes, %d of them with a body that is not the engine's whole body", garbled.Load(), successes.Load(), wrong.Load())
	return wrong.Load() == 0, nil
}

// wholeBody returns the body of an engine's answer.
func wholeBody(id string) string { return "state of " + id + strings.Repeat(".", 40) }

// answerWhole answers a call as a sound engine does.
func answerWhole(e *engine, w io.Writer, r *http.Request, _ []byte) bool {
	body := wholeBody(r.Header.Get(headerID))
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerID, r.Header.Get(headerID), headerSeal, e.sealOf(r), len(body), body)
	return err == nil
}

// answerGarbled answers with bytes that are no valid response.
func answerGarbled(e *engine, w io.Writer, r *http.Request, form string) {
	id := r.Header.Get(headerID)
	body, version, length := wholeBody(id), "HTTP/1.0", ""
	if !strings.HasPrefix(form, version) {
		version, length = "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", len(body))
		body = body[:len(body)/2]
	}
	fmt.Fprintf(w, "%s 200 OK\r\n%s: %s\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, headerID, id, headerSeal, e.sealOf(r), length, len(body), body)
}
