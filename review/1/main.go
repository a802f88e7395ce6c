// Command 1 overloads a service of two targets, one of which sends second copies of some of its answers, and checks that
// no call that must not be repeated runs twice or is refused although it runs.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bambooferry.example/bambooferry/review/lab"
)

const (
	host = "desk.example"
	// callers send calls one after another with a mean pause, for runTime.
	callers   = 24
	meanPause = 12 * time.Millisecond
	runTime   = 60 * time.Second
	// meanWork is the mean time for which a call runs at a target.
	meanWork = 15 * time.Millisecond
	slots    = 6
	// copyShare is the share of the answers of one of two targets that are followed by a second copy, in windows of
	// copyTime that begin copyInterval after one another.
	copyShare    = 0.03
	copyTime     = 5 * time.Second
	copyInterval = 6 * time.Second
)

func main() { os.Exit(run()) }

// call is what is known of one call.
type call struct {
	runs   []string
	status int
}

func run() int {
	rec, err := lab.NewRecord(os.Getenv("CASE_DIR"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	d, err := lab.NewDeployment(rec, 2, 2)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Stop()
	trouble := os.Getenv("TROUBLE") != "0"

	var mu sync.Mutex
	calls := map[string]*call{}
	of := func(id string) *call {
		if calls[id] == nil {
			calls[id] = &call{}
		}
		return calls[id]
	}
	var startedAt atomic.Pointer[time.Time]
	var answers, copies atomic.Int64
	d.Store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "book", "host": host, "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2, "service": "desk", "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i := range 2 {
		t := &lab.Target{
			ID: fmt.Sprintf("desk-%d", i+1), Service: "desk", Version: "v1", Zone: lab.ZoneName(i), Slots: slots, Record: rec,
			Run: func(_ *lab.Target, _ *http.Request, id string) lab.Answer {
				time.Sleep(meanWork/2 + rand.N(meanWork))
				return lab.Answer{Status: http.StatusOK, Body: "booked " + id}
			},
			OnRun: func(t *lab.Target, _ *http.Request, id string) {
				mu.Lock()
				defer mu.Unlock()
				of(id).runs = append(of(id).runs, t.ID)
			},
		}
		if i == 0 {
			t.CopyLate = func(*lab.Target, lab.Answer) bool {
				answers.Add(1)
				at := startedAt.Load()
				if !trouble || at == nil || time.Since(*at)%copyInterval >= copyTime || rand.Float64() >= copyShare {
					return false
				}
				copies.Add(1)
				return true
			}
		}
		if err := t.Start(d.Store); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if err := d.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(time.Second)
	now := time.Now()
	startedAt.Store(&now)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			c := &lab.Caller{Instance: d.Instances[i%2], Host: host}
			defer c.Close()
			for n := 0; time.Since(now) < runTime; n++ {
				id := fmt.Sprintf("r%d-%d", i, n)
				rec.Printf("caller %d sends %s", i, id)
				reply := c.Send(http.MethodPost, "/book/1", id, time.Second)
				rec.Printf("caller %d gets %d for %s", i, reply.Status, id)
				mu.Lock()
				of(id).status = reply.Status
				mu.Unlock()
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanPause)))
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)

	mu.Lock()
	defer mu.Unlock()
	statuses := map[int]int{}
	twice, refused := 0, 0
	for id, c := range calls {
		statuses[c.status]++
		if len(c.runs) > 1 {
			twice++
			rec.Printf("TWICE: %s ran at %v and was answered %d", id, c.runs, c.status)
		}
		switch c.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if len(c.runs) > 0 {
				refused++
				rec.Printf("REFUSED: %s was answered %d and ran at %v", id, c.status, c.runs)
			}
		}
	}
	summary := fmt.Sprintf("calls %d, statuses %v; %d second copies of %d answers of desk-1; ran twice %d, refused although run %d", len(calls), statuses, copies.Load(), answers.Load(), twice, refused)
	rec.Printf("%s", summary)
	fmt.Println(summary)
	for _, in := range d.Instances {
		if !in.Running() {
			fmt.Println(in.Name, "has ended")
			return 2
		}
	}
	if twice+refused > 0 {
		return 1
	}
	return 0
}
