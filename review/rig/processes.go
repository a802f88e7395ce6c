package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// endsPerMachine and endedMachines are the ends of processes, and the machines with so many, that the rules do not allow.
	endsPerMachine = 3
	endedMachines  = 2
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

const (
	// uploads is the number of callers that send a body to an instance at the same time, in pieces of uploadPiece bytes.
	uploads     = 80
	uploadPiece = 64 << 10
	uploadPause = 15 * time.Millisecond
	// uploadTime is the time that each caller waits for its answer.
	uploadTime = 10 * time.Second
	// smallBody is the size of the bodies without the disruption.
	smallBody      = 5000
	memoryInterval = 5 * time.Millisecond
)

// playBodies lets many callers send bodies of the largest size that the configuration allows, at the same time, and ends a
// process that exceeds its memory, as the platform does.
func playBodies(f *fleet, trouble bool) (bool, error) {
	if err := f.addEngines("desk", 2); err != nil {
		return false, err
	}
	calls := routeOf("calls", "/calls/", "unsafe", "desk")
	calls["timeoutMs"] = uploadTime.Milliseconds()
	f.putConfig(1, []map[string]any{calls}, []string{"desk"})
	if err := f.startInstances(endedMachines); err != nil {
		return false, err
	}
	size := smallBody
	if trouble {
		size = maxBodySize
	}
	body := bytes.Repeat([]byte("x"), size)
	machines := 0
	for _, in := range f.instances {
		ends := 0
		for round := range endsPerMachine {
			ended, err := f.playUploads(in, round, body)
			if err != nil {
				return false, err
			}
			if ended {
				ends++
			}
		}
		f.record.printf("the process of %s exceeded its memory in %d of %d rounds", in.name, ends, endsPerMachine)
		if ends >= endsPerMachine {
			machines++
		}
	}
	return machines < endedMachines, nil
}

// playUploads sends bodies to one instance, and reports whether its process exceeded its memory.
func (f *fleet) playUploads(in *instance, round int, body []byte) (ended bool, err error) {
	f.record.printf("%d callers each send a body of %d bytes to %s", uploads, len(body), in.name)
	var group, sent sync.WaitGroup
	var answered, cut atomic.Int64
	sent.Add(uploads)
	for i := range uploads {
		group.Go(func() {
			r := &request{id: fmt.Sprintf("%s-%d-%d", in.name, round, i), method: http.MethodPost, target: "/calls/upload", key: mainKey, body: body, deadline: uploadTime}
			if upload(in.front(), r, &sent) {
				answered.Add(1)
			} else {
				cut.Add(1)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	most := 0.0
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-tick.C:
			most = max(most, in.residentMB())
			if most > memoryMB && !ended {
				ended = true
				f.record.printf("the process of %s has %.0f MB resident, more than %d MB: the platform kills it", in.name, most, memoryMB)
				in.kill()
			}
		}
	}
	f.record.printf("%s: at most %.0f MB resident; %d callers got an answer, %d did not", in.name, most, answered.Load(), cut.Load())
	if !ended {
		return false, nil
	}
	time.Sleep(restartDelay)
	if err := f.start(in); err != nil {
		return true, err
	}
	return true, in.awaitReady()
}

// upload sends a request piece by piece, the last one when all others have sent theirs but the last, and reports whether it was
// answered.
func upload(address string, r *request, sent *sync.WaitGroup) bool {
	done := sync.OnceFunc(sent.Done)
	defer done()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	if _, err := c.Write(r.head()); err != nil {
		return false
	}
	for left := r.body; len(left) > 0; {
		n := min(len(left), uploadPiece)
		if n == len(left) {
			done()
			sent.Wait()
		}
		if _, err := c.Write(left[:n]); err != nil {
			return false
		}
		left = left[n:]
		if len(left) > 0 {
			time.Sleep(uploadPause)
		}
	}
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(c, status)
	return err == nil
}

const (
	// maxFDs is the number of descriptors of a process, and callers the number that connect to each instance; fewCallers do
	// without the disruption.
	maxFDs     = 4100
	callers    = 4200
	fewCallers = 400
	// addedRoutes is the number of routes that the operator adds.
	addedRoutes = 350
	// endWait is the time in which a process that ends by itself has ended: its grace period and some more.
	endWait = 11 * time.Second
)

// errFewDescriptors reports that this process can't open as many connections as the case needs.
var errFewDescriptors = errors.New("too few descriptors for the callers")

// playDescriptors lets callers use up the descriptors of each instance, and adds routes to the configuration, which instances
// then fetch from each other.
func playDescriptors(f *fleet, trouble bool) (bool, error) {
	if err := f.addEngines("desk", 3); err != nil {
		return false, err
	}
	f.maxFDs = maxFDs
	routes := []map[string]any{routeOf("calls", "/calls/", "unsafe", "desk")}
	f.putConfig(1, routes, []string{"desk"})
	if err := f.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	n := fewCallers
	if trouble {
		n = callers
	}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for _, in := range f.instances {
		for range n {
			c, err := net.DialTimeout("tcp", in.front(), time.Second)
			if err != nil {
				return false, errors.Join(errFewDescriptors, err)
			}
			conns = append(conns, c)
		}
		f.record.printf("%d callers have connected to %s", n, in.name)
	}
	for range addedRoutes {
		routes = append(routes, routeOf(fmt.Sprintf("r-%x", rand.Uint64()), fmt.Sprintf("/%x/", rand.Uint64()), "safe", "desk"))
	}
	f.putConfig(4, routes, []string{"desk"})
	ended := map[string]bool{}
	for deadline := time.Now().Add(endWait); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, in := range f.instances {
			if in.hasExited() && !ended[in.name] {
				ended[in.name] = true
				f.record.printf("the process of %s has ended by itself: %v; its last line: %s", in.name, in.cmd.ProcessState, in.lastLine())
			}
		}
	}
	return len(ended) == 0, nil
}
