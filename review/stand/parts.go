package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPart crashes each engine that begins to answer a request with it; sharedPart is the first part of its prompts and
	// of sound ones, otherPart the first part of further sound ones.
	crashingPart = "91bd3f06"
	sharedPart   = "5c1e07a2"
	otherPart    = "b2200c4d"
	// maxPartArrivals is the number of requests with a crashing part that may reach engines later than contactTime after the
	// fifth crash.
	maxPartArrivals = 3
	maxPartCrashes  = 5
	streamTimeout   = 25 * time.Second
)

func hasCrashingPart(r *http.Request, _ []byte) bool {
	return strings.Contains(r.Header.Get("X-Bambooferry-Prompt-Prefix"), crashingPart)
}

func streamSpec(trouble bool) engineSpec {
	spec := engineSpec{service: "drafter", slots: 32, events: 140, firstEvent: 100 * time.Millisecond, eventGap: 28 * time.Millisecond, downTime: 3 * time.Second}
	if trouble {
		spec.crashes = hasCrashingPart
	}
	return spec
}

// streams are streams of one kind.
type streams struct {
	mu   sync.Mutex
	list []*request
	done []*answer
}

// send sends a stream whose prompt begins with the parts.
func (s *streams) send(d *deployment, kind, key, parts string) {
	r := &request{
		id: newID(kind), method: http.MethodPost, path: pathStream + "p", key: key, parts: fmt.Sprintf("%s%08x:4800", parts, rand.Uint32()), tokens: "5000,840",
		body: []byte("prompt " + newID("text")), timeout: streamTimeout, instance: d.anyInstance(),
	}
	s.mu.Lock()
	s.list = append(s.list, r)
	s.mu.Unlock()
	d.calls.Go(func() {
		a := d.send(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.done = append(s.done, a)
	})
}

// begun counts the requests sent in a time, and those of them that an engine has begun.
func (s *streams) begun(d *deployment, from, to time.Time) (sent, begun int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.list {
		if !r.sentAt.Before(from) && r.sentAt.Before(to) {
			sent++
			if d.runsOf(r.id) > 0 {
				begun++
			}
		}
	}
	return sent, begun
}

// runSharedPart checks LOST for sound requests that share their first part with requests that crash engines.
func runSharedPart(record *recorder, trouble bool) (bool, error) {
	const (
		// before is the number of sound requests that are sent in the first three seconds, and soundEvery the time between two of
		// those that come again from soundAgain on.
		before, beforeEvery    = 24, 125 * time.Millisecond
		soundAgain, soundEvery = 46 * time.Second, 500 * time.Millisecond
		troubleFrom            = 36 * time.Second
		duration               = 80 * time.Second
		crashingEvery          = 800 * time.Millisecond
		otherEvery             = 100 * time.Millisecond
		minCounted             = 20
	)
	d, err := startDeployment(record, &plan{instances: 3, engines: 12, spec: streamSpec(trouble), streams: true, kvTokens: 1 << 20})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	startedAt := time.Now()
	end := startedAt.Add(duration)
	var sound, crashing, other streams
	d.calls.Go(func() {
		for time.Now().Before(end) {
			other.send(d, "other", keys[1], otherPart+":200,")
			time.Sleep(otherEvery)
		}
	})
	d.calls.Go(func() {
		time.Sleep(troubleFrom)
		for time.Now().Before(end) {
			crashing.send(d, "crashing", keys[0], sharedPart+":200,"+crashingPart+":410,")
			time.Sleep(crashingEvery)
		}
	})
	for range before {
		sound.send(d, "sound", keys[0], sharedPart+":200,")
		time.Sleep(beforeEvery)
	}
	time.Sleep(time.Until(startedAt.Add(soundAgain)))
	for time.Now().Before(end) {
		sound.send(d, "sound", keys[0], sharedPart+":200,")
		time.Sleep(soundEvery)
	}
	d.calls.Wait()
	fifth := d.crashAt(maxPartCrashes)
	counted := startedAt.Add(troubleFrom).Add(2 * contactTime)
	if !fifth.IsZero() {
		counted = fifth.Add(2 * contactTime)
	}
	sentBefore, begunBefore := sound.begun(d, startedAt, startedAt.Add(troubleFrom))
	sentAfter, begunAfter := sound.begun(d, counted, end)
	sentCrashing, begunCrashing := crashing.begun(d, startedAt, end)
	sentOther, begunOther := other.begun(d, counted, end)
	record.Summary("%d crashes of engines; requests with the crashing part: %d sent, %d reached engines; sound requests with the shared part: before %d sent, %d begun, from 2 x contactMs after the fifth crash %d sent, %d begun; others then %d sent, %d begun",
		d.crashCount(), sentCrashing, begunCrashing, sentBefore, begunBefore, sentAfter, begunAfter, sentOther, begunOther)
	record.Summary("marked parts in the store: %s", d.store.Value("bambooferry/marked_parts"))
	if sentBefore < minCounted || sentAfter < minCounted {
		return false, fmt.Errorf("too few sound requests: %d and %d", sentBefore, sentAfter)
	}
	return 2*begunAfter*sentBefore >= begunBefore*sentAfter, nil
}

// runLittleTraffic checks BUDGET for a part that crashes engines while there is little other traffic.
func runLittleTraffic(record *recorder, trouble bool) (bool, error) {
	const (
		calm, duration = 15 * time.Second, 55 * time.Second
		crashingEvery  = time.Second
		soundEvery     = 2 * time.Second
	)
	d, err := startDeployment(record, &plan{instances: 8, engines: 12, spec: streamSpec(trouble), streams: true, kvTokens: 1 << 20})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	startedAt := time.Now()
	end := startedAt.Add(duration)
	var sound, crashing streams
	d.calls.Go(func() {
		time.Sleep(calm)
		for time.Now().Before(end) {
			crashing.send(d, "crashing", keys[0], sharedPart+":200,"+crashingPart+":410,")
			time.Sleep(crashingEvery)
		}
	})
	for time.Now().Before(end) {
		sound.send(d, "sound", keys[0], sharedPart+":200,")
		time.Sleep(soundEvery)
	}
	d.calls.Wait()
	if in := d.endedInstance(); in != nil {
		return false, fmt.Errorf("%s has ended: %w", in.name, in.exitErr)
	}
	arrivals := 0
	if fifth := d.crashAt(maxPartCrashes); !fifth.IsZero() {
		for _, r := range crashing.list {
			arrivals += d.runsAfter(r.id, fifth.Add(contactTime))
		}
	}
	sent, begun := sound.begun(d, startedAt, end)
	record.Summary("%d crashes of engines; requests with the part that were sent later than contactMs after the fifth one reached engines %d times (%d are allowed); sound requests: %d sent, %d begun", d.crashCount(), arrivals, maxPartArrivals, sent, begun)
	return arrivals <= maxPartArrivals, nil
}
