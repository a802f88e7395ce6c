package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// host is the host of all routes.
	host = "desk.example"
	// work is the time for which a request runs, and callTimeout how long its caller waits.
	work        = 15 * time.Millisecond
	callTimeout = time.Second
)

// Request is one request that a caller has sent.
type Request struct {
	Kind   string
	SentAt time.Time
	Status int
}

// Arrival is one request that has reached a target.
type Arrival struct {
	ID      string
	Service string
	Version string
	At      time.Time
	// Bad is set if the target has failed it since its version is bad.
	Bad bool
}

// Desk is a deployment with two services: desk runs calls of the route book, which must not be repeated, and info those
// of the route info, which may. Set its exported fields before the first call.
type Desk struct {
	*Deployment
	// BadVersion is a version of desk that fails a share of its requests from the time that SetBad states.
	BadVersion string
	BadShare   float64

	mu       sync.Mutex
	badFrom  time.Time
	requests []Request
	arrivals []Arrival
}

// SetBad sets the time from which the bad version fails requests.
func (d *Desk) SetBad(from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.badFrom = from
}

func (d *Desk) isBad(version string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return version == d.BadVersion && !d.badFrom.IsZero() && time.Now().After(d.badFrom) && rand.Float64() < d.BadShare
}

// PutConfig writes the configuration.
func (d *Desk) PutConfig() {
	route := func(name, service, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": callTimeout.Milliseconds(), "targetLatencyMs": 150, "priority": 2,
			"service": service, "maxAttempts": attempts,
		}
	}
	d.Store.Put("op/config", map[string]any{
		"version": 1, "routes": []map[string]any{route("book", "desk", "unsafe", 1), route("info", "info", "safe", 2)},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 110}, {"name": "info", "healthPath": "/health", "maxConnections": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// StartTargets starts two targets of a version of a service.
func (d *Desk) StartTargets(service, version string) ([]*Target, error) {
	var list []*Target
	for i := range 2 {
		t := &Target{
			ID: fmt.Sprintf("%s-%s-%d", service, version, i+1), Service: service, Version: version, Zone: ZoneName(i), Slots: 6, Queue: 24, Record: d.Record, Run: d.run,
		}
		if err := t.Start(d.Store); err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}

func (d *Desk) run(t *Target, _ *http.Request, id string) Answer {
	time.Sleep(work)
	a := Answer{Status: http.StatusOK, Body: "done " + id}
	if d.isBad(t.Version) {
		a = Answer{Status: http.StatusInternalServerError, Body: "failed"}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, Arrival{ID: id, Service: t.Service, Version: t.Version, At: time.Now().Add(-work), Bad: a.Status != http.StatusOK})
	return a
}

// Order writes the operator's order to move the service desk to a version.
func (d *Desk) Order(version string, interval time.Duration) {
	d.Store.Put("op/rollout/desk", map[string]any{"service": "desk", "target": version, "intervalS": interval.Seconds()})
	d.Record.Printf("the operator orders %s within %v", version, interval)
}

// Status returns what the operator reads about the latest order.
func (d *Desk) Status() (state, version string) {
	status := struct{ State, Target string }{}
	_ = json.Unmarshal(d.Store.Value("status/rollout/desk"), &status)
	return status.State, status.Target
}

// StartTraffic sends requests of both kinds to all instances that run until stop is called, which waits for the end.
func (d *Desk) StartTraffic(bookCallers, infoCallers int, meanPause time.Duration) (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for i := range bookCallers + infoCallers {
		kind, method := "book", http.MethodPost
		if i >= bookCallers {
			kind, method = "info", http.MethodGet
		}
		group.Go(func() { d.send(ended, d.Instances[i%len(d.Instances)], kind, method, i, meanPause) })
	}
	return sync.OnceFunc(func() {
		close(ended)
		group.Wait()
	})
}

// send sends requests to an instance until it has ended or ended is closed.
func (d *Desk) send(ended chan struct{}, in *Instance, kind, method string, caller int, meanPause time.Duration) {
	c := &Caller{Instance: in, Host: host}
	defer c.Close()
	for n := 0; in.Running(); n++ {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(meanPause))):
		}
		id, sentAt := fmt.Sprintf("%s%d-%d", kind, caller, n), time.Now()
		reply := c.Send(method, "/"+kind+"/1", id, callTimeout)
		d.Record.Printf("%s, sent to %s, gets %d", id, in.Name, reply.Status)
		d.mu.Lock()
		d.requests = append(d.requests, Request{Kind: kind, SentAt: sentAt, Status: reply.Status})
		d.mu.Unlock()
	}
}

// Requests returns the requests that were sent from a time on.
func (d *Desk) Requests(from time.Time) []Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Request
	for _, r := range d.requests {
		if !r.SentAt.Before(from) {
			list = append(list, r)
		}
	}
	return list
}

// Arrivals returns the requests that reached a service between two times, each once.
func (d *Desk) Arrivals(service string, from, to time.Time) []Arrival {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Arrival
	seen := map[string]bool{}
	for _, a := range d.arrivals {
		if a.Service == service && !a.At.Before(from) && a.At.Before(to) && !seen[a.ID] {
			seen[a.ID] = true
			list = append(list, a)
		}
	}
	return list
}

// Report writes a line to the record and to the output.
func (d *Desk) Report(format string, args ...any) {
	d.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
