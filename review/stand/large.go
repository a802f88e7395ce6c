package main

import (
	"bytes"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of the settings: the platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	memoryCheck = 20 * time.Millisecond
	// maxLostOnKept is the number of requests from kept channels that may be passed on and get no answer.
	maxLostOnKept = 3
	largeBodySize = 4 << 20
)

// runLargeRequests checks that an instance stays under its memory limit while requests as large as the configuration allows
// come at 1.7 times the usual rate for 3 s.
func runLargeRequests(record *recorder, trouble bool) (bool, error) {
	const (
		usual, extra = 46, 32
		burstAt      = 15 * time.Second
		burstFor     = 3 * time.Second
		duration     = 40 * time.Second
		// aloneFor is the time that a stream takes, over which requesters begin evenly.
		aloneFor = 5 * time.Second
	)
	spec := streamSpec(false)
	spec.firstEvent = time.Second
	d, err := startDeployment(record, &plan{instances: 1, engines: 6, spec: spec, streams: true, kvTokens: 1 << 20})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	in := d.instances[0]
	killed, peak := make(chan struct{}), atomic.Int64{}
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-time.Tick(memoryCheck):
			case <-done:
				return
			}
			n := in.memory()
			peak.Store(max(peak.Load(), n))
			if n > memoryLimit {
				record.Printf("%s uses %d MiB of %d and is killed by the platform", in.name, n>>20, memoryLimit>>20)
				close(killed)
				in.kill()
				return
			}
		}
	}()
	body := bytes.Repeat([]byte("prompt text "), largeBodySize/12)
	end := time.Now().Add(duration)
	var lost, lostOnKept, served atomic.Int64
	send := func(channel *http.Transport, kept bool) {
		r := &request{id: newID("large"), method: http.MethodPost, path: pathStream + "p", key: keys[0], parts: "5c1e07a2:200," + newID("a")[2:] + ":4800", tokens: "5000,840", body: body, timeout: streamTimeout, instance: in, channel: channel}
		switch a := d.send(r); {
		case a.served():
			served.Add(1)
		case d.runsOf(r.id) > 0 && a.err != nil:
			lost.Add(1)
			if kept {
				lostOnKept.Add(1)
			}
		}
	}
	for i := range usual {
		d.calls.Go(func() {
			time.Sleep(aloneFor * time.Duration(i) / usual)
			channel := newChannel()
			defer channel.CloseIdleConnections()
			for kept := false; time.Now().Before(end) && !in.hasExited(); kept = true {
				send(channel, kept)
			}
		})
	}
	if trouble {
		d.calls.Go(func() {
			time.Sleep(burstAt)
			for range extra {
				d.calls.Go(func() { send(nil, false) })
				time.Sleep(burstFor / extra)
			}
		})
	}
	d.calls.Wait()
	close(done)
	record.Summary("the process used %d MiB of %d at most; %d requests were served; %d had been passed on to an engine and ended without an answer, %d of them from kept channels (%d are allowed)",
		peak.Load()>>20, memoryLimit>>20, served.Load(), lost.Load(), lostOnKept.Load(), maxLostOnKept)
	select {
	case <-killed:
		record.Summary("the process exceeded memoryMb and was killed")
	default:
		if in.hasExited() {
			return false, errors.New("the process has ended by itself")
		}
	}
	return lostOnKept.Load() <= maxLostOnKept, nil
}
