package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
	// maxCrashingRetries is the number of retries that a request which crashes its engines may have later than contactTime
	// after its third crash.
	maxCrashingRetries = 3
	maxCrashesBefore   = 3
	crashingBody       = "return of case 4711"
)

func isCrashingCall(r *http.Request, body []byte) bool {
	return r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, pathUnsafe) && string(body) == crashingBody
}

// crashingLoad is the load of a case with a request that crashes its engines.
type crashingLoad struct {
	duration time.Duration
	// every is the time between two times that the crashing request comes, soundEvery that between two sound calls.
	every, soundEvery time.Duration
}

// runCrashingRequest checks BUDGET for a request that crashes each engine that runs it and comes again for longer than
// half a minute.
func runCrashingRequest(record *recorder, trouble bool) (bool, error) {
	spec := engineSpec{service: "desk", slots: 6, work: 15 * time.Millisecond, downTime: 3 * time.Second}
	if trouble {
		spec.crashes = isCrashingCall
	}
	return runCrashing(record, &plan{instances: 3, engines: 4, spec: spec}, crashingLoad{duration: 85 * time.Second, every: 2 * time.Second, soundEvery: 20 * time.Millisecond})
}

// runSmallPool checks BUDGET for a request that crashes each engine of a small service in turn, so that few others are up
// at the time.
func runSmallPool(record *recorder, trouble bool) (bool, error) {
	spec := engineSpec{service: "desk", slots: 6, work: 30 * time.Millisecond, downTime: 5 * time.Second}
	if trouble {
		spec.crashes = isCrashingCall
	}
	return runCrashing(record, &plan{instances: 3, engines: 3, spec: spec}, crashingLoad{duration: 40 * time.Second, every: 1500 * time.Millisecond, soundEvery: 30 * time.Millisecond})
}

func runCrashing(record *recorder, p *plan, load crashingLoad) (bool, error) {
	d, err := startDeployment(record, p)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	end := time.Now().Add(load.duration)
	sound := d.startSoundCalls(load.soundEvery, end)
	var crashing []*request
	for i := 0; time.Now().Before(end); i++ {
		r := &request{
			id: newID("crashing"), method: http.MethodPost, path: pathUnsafe + "return", key: keys[0], body: []byte(crashingBody), timeout: 1500 * time.Millisecond,
			instance: d.instances[i%len(d.instances)],
		}
		crashing = append(crashing, r)
		d.calls.Go(func() { d.send(r) })
		time.Sleep(load.every)
	}
	d.calls.Wait()
	if in := d.endedInstance(); in != nil {
		return false, fmt.Errorf("%s has ended: %w", in.name, in.exitErr)
	}
	third, retries := d.crashAt(maxCrashesBefore), 0
	if !third.IsZero() {
		for _, r := range crashing {
			if n := d.runsAfter(r.id, third.Add(contactTime)); n > 0 {
				retries++
				record.Printf("retry %s, sent %.1f s after the third crash, reached %d engines", r.id, r.sentAt.Sub(third).Seconds(), n)
			}
		}
	}
	served, lost := sound.counts(d)
	record.Summary("%d requests, %d crashes of engines; later than contactMs after the third one %d retries reached engines (%d are allowed); sound calls: %d served, %d lost after they had run",
		len(crashing), d.crashCount(), retries, maxCrashingRetries, served, lost)
	return retries <= maxCrashingRetries, nil
}
