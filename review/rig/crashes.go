package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPart and crashingBody mark what crashes the stand-in engines.
	crashingPart = "bad0bad0"
	crashingBody = "the text that crashes engines"
	// commonPart is a part of the prompt that all requests share.
	commonPart = "c0ffee00"
	// crashingPrefix begins the ids of the requests that crash engines.
	crashingPrefix = "crash-"
	// contactTime is contactMs of the pages, and downTime the time after which an engine that has crashed is back.
	contactTime = 3 * time.Second
	downTime    = 2 * time.Second
	// maxLate is the number of arrivals later than contactTime that the rules allow.
	maxLate = 3
	// groupPause is the time between two groups of requests.
	groupPause = 5 * time.Second
	// warmUp is the time of sound requests before the first group.
	warmUp = 5 * time.Second

	firstEventDelay = 60 * time.Millisecond
	streamEvents    = 20
	eventInterval   = 20 * time.Millisecond
)

// crashPlay describes a play with requests that crash engines.
type crashPlay struct {
	// engines is the number of engines.
	engines int
	// group is the number of requests that come at the same time.
	group int
	// countedFrom is the crash from which on arrivals are bounded, counted from 1.
	countedFrom int
	// playTime is the time in which requests come.
	playTime time.Duration
	// alone is set if the crashes and arrivals of each body are counted by themselves.
	alone bool
	// prompt and body return the prompt and the body of a request of a group that crashes engines.
	prompt func() string
	body   func(n, i int) string
	// crashes reports whether a request crashes its engine.
	crashes func(r *http.Request, body []byte) bool
}

// playParts sends requests that share one part of the prompt, which crashes the engine that begins to write an answer on it.
func playParts(f *fleet, trouble bool) (bool, error) {
	return playCrashes(f, trouble, &crashPlay{
		engines: 16, group: 5, countedFrom: 5, playTime: 33 * time.Second,
		prompt: func() string { return fmt.Sprintf("%s:200,%s:200,%x:300", commonPart, crashingPart, rand.Uint32()) },
		body:   func(n, i int) string { return fmt.Sprintf("text %d of group %d", i, n) },
		crashes: func(r *http.Request, _ []byte) bool {
			return strings.Contains(r.Header.Get(headerPrefix), crashingPart)
		},
	})
}

// playCopies sends copies of one request, which crashes the engine that runs it.
func playCopies(f *fleet, trouble bool) (bool, error) {
	return playCrashes(f, trouble, &crashPlay{
		engines: 16, group: 3, countedFrom: 3, playTime: 33 * time.Second,
		prompt:  func() string { return commonPart + ":200,0ddba11:300" },
		body:    func(int, int) string { return crashingBody },
		crashes: func(_ *http.Request, body []byte) bool { return string(body) == crashingBody },
	})
}

// playBatch sends six requests at the same time, again and again, each of which crashes the engine that runs it.
func playBatch(f *fleet, trouble bool) (bool, error) {
	return playCrashes(f, trouble, &crashPlay{
		engines: 24, group: 6, countedFrom: 3, playTime: 48 * time.Second, alone: true,
		prompt:  func() string { return commonPart + ":200,0ddba11:300" },
		body:    func(_, i int) string { return fmt.Sprintf("%s, number %d", crashingBody, i) },
		crashes: func(_ *http.Request, body []byte) bool { return strings.HasPrefix(string(body), crashingBody) },
	})
}

func playCrashes(f *fleet, trouble bool, play *crashPlay) (bool, error) {
	if err := f.addEngines("llm", play.engines); err != nil {
		return false, err
	}
	var mu sync.Mutex
	crashes := map[string][]time.Time{}
	keyOf := func(body []byte) string {
		if play.alone {
			return string(body)
		}
		return ""
	}
	for _, e := range f.engines {
		e.answer = func(e *engine, w io.Writer, r *http.Request, body []byte) bool {
			time.Sleep(firstEventDelay)
			if trouble && play.crashes(r, body) {
				f.record.printf("engine %s crashes", e.id)
				mu.Lock()
				crashes[keyOf(body)] = append(crashes[keyOf(body)], time.Now())
				mu.Unlock()
				go f.crash(e, downTime)
				return false
			}
			return answerStream(e, w, r)
		}
	}
	streams := routeOf("streams", "/streams/", "streaming", "llm")
	streams["timeoutMs"], streams["targetLatencyMs"], streams["gapTargetMs"], streams["sticky"] = 25000, 4500, 700, true
	f.putConfig(1, []map[string]any{streams}, []string{"llm"})
	if err := f.startInstances(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), play.playTime)
	defer cancel()
	var all sync.WaitGroup
	for worker := range 6 {
		all.Go(func() { f.sendSound(ctx, worker) })
	}
	time.Sleep(warmUp)
	for n := 0; ctx.Err() == nil; n++ {
		f.record.printf("%d callers send requests of group %d at the same time", play.group, n)
		for i := range play.group {
			all.Go(func() {
				id := fmt.Sprintf("%s%d-%d", crashingPrefix, n, i)
				f.exchange(f.instances[(n+i)%len(f.instances)], streamRequest(id, play.prompt(), play.body(n, i)), streamPatience)
			})
		}
		sleep(ctx, groupPause)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	held := true
	for key, list := range crashes {
		late := 0
		for _, ran := range f.allRuns() {
			if len(list) >= play.countedFrom && strings.HasPrefix(ran.id, crashingPrefix) && keyOf(ran.body) == key && ran.at.After(list[play.countedFrom-1].Add(contactTime)) {
				late++
			}
		}
		f.record.printf("%s: %d engines have crashed; %d requests that crash them arrived later than %v after crash %d, of %d that are allowed",
			cmp.Or(key, "all requests"), len(list), late, contactTime, play.countedFrom, maxLate)
		held = held && late <= maxLate
	}
	return held, nil
}

// sendSound sends sound requests, which share a part of the prompt with those that crash engines, one after another.
func (f *fleet) sendSound(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("sound-%d-%d", worker, n)
		prompt := fmt.Sprintf("%s:200,%x:200,%x:300", commonPart, 0x100+rand.IntN(8), rand.Uint32())
		f.exchange(f.instances[rand.IntN(len(f.instances))], streamRequest(id, prompt, "text of "+id), streamPatience)
		sleep(ctx, time.Duration(100+rand.IntN(300))*time.Millisecond)
	}
}

// streamPatience is the time that the caller of a stream waits.
const streamPatience = 10 * time.Second

func streamRequest(id, prompt, body string) *request {
	return &request{id: id, method: http.MethodPost, target: "/streams/draft", key: mainKey, body: []byte(body), deadline: streamPatience, header: map[string]string{
		headerPrefix: prompt, "X-Bambooferry-Token-Count": "700,120", "X-Bambooferry-Model": "m",
	}}
}

// answerStream answers with a series of events.
func answerStream(e *engine, w io.Writer, r *http.Request) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, r.Header.Get(headerID), headerSeal, e.sealOf(r))
	for n := 1; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err == nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
