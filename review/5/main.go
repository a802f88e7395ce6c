// Command 5 orders a version that fails half of its requests from the time on at which more of them begin to move to it,
// and checks how many it gets.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"bambooferry.example/bambooferry/review/lab"
)

const (
	host   = "desk.example"
	routes = 3
	// rate is the number of requests a second to the service, sent by callers in turn.
	rate    = 30
	callers = 30
	work    = 15 * time.Millisecond
	// before is the time with traffic before the order, and interval the time that it allows.
	before   = 10 * time.Second
	interval = 20 * time.Second
	// badAfter is the time after the order from which the new version fails badShare of its requests.
	badAfter = 15 * time.Second
	badShare = 0.5
	// exposeShare and badVersionSlack bound the requests that a bad version gets.
	exposeShare     = 0.1
	badVersionSlack = 50
)

func main() { os.Exit(run()) }

func run() int {
	rec, err := lab.NewRecord(os.Getenv("CASE_DIR"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	d, err := lab.NewDeployment(rec, 3, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Stop()
	broken, err := play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.Printf("the case can't run: %v", err)
		fmt.Println(err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// counts holds the requests that reached the service since the order.
type counts struct {
	mu                   sync.Mutex
	orderedAt            time.Time
	all, exposed, failed int
}

func startTargets(d *lab.Deployment, c *counts, version string, trouble bool) error {
	for i := range 2 {
		t := &lab.Target{
			ID: fmt.Sprintf("desk-%s-%d", version, i+1), Service: "desk", Version: version, Zone: lab.ZoneName(i), Slots: 6, Queue: 24, Record: d.Record,
			Run: func(t *lab.Target, _ *http.Request, id string) lab.Answer {
				time.Sleep(work)
				c.mu.Lock()
				defer c.mu.Unlock()
				since := time.Since(c.orderedAt)
				bad := trouble && t.Version == "v2" && since > badAfter && rand.Float64() < badShare
				if !c.orderedAt.IsZero() && since < interval {
					c.all++
					if t.Version == "v2" {
						c.exposed++
					}
					if bad {
						c.failed++
					}
				}
				if bad {
					return lab.Answer{Status: http.StatusInternalServerError, Body: "failed"}
				}
				return lab.Answer{Status: http.StatusOK, Body: "done " + id}
			},
		}
		if err := t.Start(d.Store); err != nil {
			return err
		}
	}
	return nil
}

func play(d *lab.Deployment, trouble bool) (broken bool, err error) {
	var list []map[string]any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("route-%d", i+1), "host": host, "pathPrefix": fmt.Sprintf("/route-%d/", i+1), "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
			"service": "desk", "maxAttempts": 1,
		})
	}
	d.Store.Put("op/config", map[string]any{
		"version": 1, "routes": list, "services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 110}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	c := &counts{}
	if err := startTargets(d, c, "v1", trouble); err != nil {
		return false, err
	}
	if err := d.Start(); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { send(d, ended, i) })
	}
	stop := sync.OnceFunc(func() {
		close(ended)
		group.Wait()
	})
	defer stop()
	time.Sleep(before)
	orderedAt := time.Now()
	c.mu.Lock()
	c.orderedAt = orderedAt
	c.mu.Unlock()
	d.Store.Put("op/rollout/desk", map[string]any{"service": "desk", "target": "v2", "intervalS": interval.Seconds()})
	d.Record.Printf("the operator orders v2 within %v", interval)
	if err := startTargets(d, c, "v2", trouble); err != nil {
		return false, err
	}
	status := ""
	for time.Since(orderedAt) < interval {
		if s := string(d.Store.Value("status/rollout/desk")); s != status {
			status = s
			d.Record.Printf("status: %s", s)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := exposeShare*float64(c.all) + badVersionSlack
	summary := fmt.Sprintf("v2 got %d of the %d requests that reached its service (limit %.0f) and failed %d; status at the limit: %s", c.exposed, c.all, limit, c.failed, status)
	d.Record.Printf("%s", summary)
	fmt.Println(summary)
	if c.all == 0 {
		return false, errors.New("no request reached the service")
	}
	return trouble && float64(c.exposed) > limit, nil
}

// send sends requests on all routes in turn until ended is closed.
func send(d *lab.Deployment, ended chan struct{}, caller int) {
	c := &lab.Caller{Instance: d.Instances[caller%len(d.Instances)], Host: host}
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(callers) / rate * float64(time.Second))):
		}
		id, target := fmt.Sprintf("r%d-%d", caller, n), fmt.Sprintf("/route-%d/1", 1+rand.IntN(routes))
		reply := c.Send(http.MethodPost, target, id, time.Second)
		d.Record.Printf("%s, sent as POST %s, gets %d", id, target, reply.Status)
	}
}
