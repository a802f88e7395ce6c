package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// successorID is the id under which a crashed engine is back.
	successorID = "i-successor"
	// backAfter is the time after which it is back, and entryDelay the time from then until the store has its entry.
	backAfter  = 1200 * time.Millisecond
	entryDelay = 1100 * time.Millisecond
	// firstLimit and lowerLimit are the requests a second that it names, the second from lowerAfter its entry on.
	firstLimit = 8
	lowerLimit = 1
	lowerAfter = 3 * time.Second
	// limitWindow is the time in which the rules allow one and a half times what the limit allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitTime is the time in which requests come.
	limitTime = 30 * time.Second
)

// playSuccessor lets an engine crash, come back before its entry and lower the limit that it names.
func playSuccessor(f *fleet, trouble bool) (bool, error) {
	if err := f.addEngines("llm", 4); err != nil {
		return false, err
	}
	var limit atomic.Int64
	limit.Store(firstLimit)
	serve := func(e *engine, w io.Writer, r *http.Request, _ []byte) bool {
		if e.id == successorID {
			w = limitWriter{w, limit.Load()}
		}
		return answerStream(e, w, r)
	}
	for _, e := range f.engines {
		e.answer = serve
	}
	streams := routeOf("streams", "/streams/", "streaming", "llm")
	streams["timeoutMs"], streams["resumable"], streams["maxAttempts"] = 25000, true, 5
	f.putConfig(1, []map[string]any{streams}, []string{"llm"})
	if err := f.startInstances(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limitTime)
	defer cancel()
	var all sync.WaitGroup
	for worker := range 60 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("limit-%d-%d", worker, n)
				exchange(f.instances[rand.IntN(len(f.instances))].front(), streamRequest(id, commonPart+":200,abc:300", id), streamPatience)
				sleep(ctx, time.Duration(20+rand.IntN(100))*time.Millisecond)
			}
		})
	}
	time.Sleep(warmUp)
	former := f.engines[0]
	f.record.printf("engine %s crashes", former.id)
	former.close()
	time.Sleep(backAfter)
	next, err := f.startEngine(successorID, former.service, former.zone, former.address().String())
	if err != nil {
		return false, err
	}
	next.answer = serve
	if trouble {
		go next.accept()
		time.Sleep(entryDelay)
	}
	f.store.drop("servers/" + former.id)
	next.list(f.store)
	if !trouble {
		go next.accept()
	}
	f.record.printf("the store has the entry of %s", next.id)
	time.Sleep(lowerAfter)
	limit.Store(lowerLimit)
	loweredAt := time.Now()
	f.record.printf("engine %s names a limit of %d in place of %d from now on", next.id, lowerLimit, firstLimit)
	all.Wait()
	return f.checkLimit(loweredAt.Add(contactTime)), nil
}

// checkLimit reports whether the successor's arrivals after a time were within its lower limit.
func (f *fleet) checkLimit(from time.Time) bool {
	var arrivals []time.Time
	for _, r := range f.allRuns() {
		if r.engine == successorID && r.at.After(from) {
			arrivals = append(arrivals, r.at)
		}
	}
	most := 0
	for i := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(arrivals[i]) <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := limitFactor*lowerLimit*limitWindow.Seconds() + limitSlack
	f.record.printf("%d requests reached it later than %v after that, at most %d within %v, of %.0f that are allowed", len(arrivals), contactTime, most, limitWindow, allowed)
	return float64(most) <= allowed
}

// limitWriter adds a limit to the header of an answer.
type limitWriter struct {
	io.Writer
	perSecond int64
}

// Write writes bytes; those of a header begin with the status line.
func (w limitWriter) Write(b []byte) (int, error) {
	if status, rest, ok := strings.Cut(string(b), "\r\n"); ok && strings.HasPrefix(status, "HTTP/") {
		_, err := fmt.Fprintf(w.Writer, "%s\r\nServer-Limit: %d\r\n%s", status, w.perSecond, rest)
		return len(b), err
	}
	return w.Writer.Write(b)
}
