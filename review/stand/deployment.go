package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	// The paths of the routes; the service of calls is desk, that of streams drafter.
	pathStream = "/draft/"
	pathUnsafe = "/log/"
	pathSafe   = "/status/"
	// settleTime is the time from the readiness of all instances until the load begins.
	settleTime = 2 * time.Second
)

// plan describes a deployment.
type plan struct {
	instances int
	engines   int
	spec      engineSpec
	// streams is set for the service of model engines.
	streams bool
	// kvTokens is the memory of a model engine.
	kvTokens int
	// late, if set, returns how much later a write to the store takes effect that gets no answer.
	late func(writes []item) time.Duration
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	record    *recorder
	store     *store
	instances []*instance
	engines   []*engine
	dir       string
	// seeds and storeAddress are settings of the instances.
	seeds, storeAddress string

	mu sync.Mutex
	// runs holds when engines began to run each request, and crashes the times of the crashes.
	runs    map[string][]time.Time
	crashes []time.Time
	// log holds all runs, and sentTo the instance to which each request was sent.
	log    []engineRun
	sentTo map[string]*instance
	calls  sync.WaitGroup
}

// engineRun is one request that reached an engine.
type engineRun struct {
	request string
	engine  *engine
	at      time.Time
}

var keys = []string{"key-one-4f1b", "key-two-77ac", "key-three-90de", "key-four-18b3", "key-five-c0a7"}

func config(p *plan) map[string]any {
	service := map[string]any{"name": p.spec.service, "healthPath": "/health", "maxConnections": 240, "protocol": "h1", "tls": false}
	routes := []map[string]any{}
	if p.streams {
		service["engine"] = map[string]any{
			"slots": p.spec.slots, "kvCapacityTokens": p.kvTokens, "kvBytes": 262144, "linkMbps": 740000.0, "moves": false, "backups": false, "stride": 6, "most": 12,
			"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0, "models": []map[string]any{{"name": "m"}},
		}
		routes = append(routes, map[string]any{
			"name": "draft", "host": host, "pathPrefix": pathStream, "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4500, "priority": 1, "service": p.spec.service,
			"maxAttempts": 5, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 700,
		})
	} else {
		routes = append(routes, map[string]any{
			"name": "log", "host": host, "pathPrefix": pathUnsafe, "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": p.spec.service,
			"maxAttempts": 1, "public": false,
		}, map[string]any{
			"name": "status", "host": host, "pathPrefix": pathSafe, "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": p.spec.service,
			"maxAttempts": 2, "public": false,
		})
	}
	tenants := []map[string]any{}
	for i, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i+1), "apiKeys": []string{key}, "priority": 1})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": []map[string]any{service}, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startDeployment starts the stand-ins and the instances, and waits until they are ready.
func startDeployment(record *recorder, p *plan) (*deployment, error) {
	d := &deployment{record: record, runs: map[string][]time.Time{}, sentTo: map[string]*instance{}}
	var err error
	if d.dir, err = os.MkdirTemp("", "bambooferry-review-"); err != nil {
		return nil, err
	}
	storeAddress, err := freePort("127.0.0.1")
	if err != nil {
		return d, err
	}
	if d.store, err = startStore(storeAddress); err != nil {
		return d, err
	}
	d.store.late = p.late
	d.store.Put("op/config", config(p))
	for i := range p.engines {
		address, err := freePort("127.0.0.1")
		if err != nil {
			return d, err
		}
		e := &engine{spec: p.spec, zone: zones[i%len(zones)], address: address, store: d.store, record: record, observe: d.observeRun, onCrash: d.observeCrash}
		if err := e.start(); err != nil {
			return d, err
		}
		d.engines = append(d.engines, e)
	}
	ips, err := freeAddresses(83, p.instances)
	if err != nil {
		return d, err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	d.seeds, d.storeAddress = strings.Join(seeds, ","), storeAddress
	for i, ip := range ips {
		in, err := startInstance(d.dir, fmt.Sprintf("front-%d", i+1), ip, zones[i%len(zones)], d.seeds, d.storeAddress)
		if err != nil {
			return d, err
		}
		d.instances = append(d.instances, in)
	}
	for _, in := range d.instances {
		if err := in.awaitReady(); err != nil {
			return d, err
		}
	}
	time.Sleep(settleTime)
	return d, nil
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	killAll()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) observeRun(e *engine, id string, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.runs[id] = append(d.runs[id], now)
	d.log = append(d.log, engineRun{id, e, now})
}

func (d *deployment) observeCrash(*engine, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes = append(d.crashes, time.Now())
}

// crashAt returns the time of the nth crash, or the zero time.
func (d *deployment) crashAt(n int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < n {
		return time.Time{}
	}
	return d.crashes[n-1]
}

// runsOf returns how often a request reached an engine.
func (d *deployment) runsOf(id string) int { return d.runsAfter(id, time.Time{}) }

// runsAfter returns how often a request reached an engine after a time.
func (d *deployment) runsAfter(id string, after time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.runs[id] {
		if at.After(after) {
			n++
		}
	}
	return n
}

// crashCount returns the number of crashes of engines.
func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashes)
}

// endedInstance returns an instance whose process has ended, or nil.
func (d *deployment) endedInstance() *instance {
	for _, in := range d.instances {
		if in.hasExited() {
			return in
		}
	}
	return nil
}

// readers returns the instances that read the store for the others, as their logs state.
func (d *deployment) readers() []*instance {
	var list []*instance
	for _, in := range d.instances {
		log, err := os.ReadFile(filepath.Join(d.dir, in.name+".log"))
		if err != nil {
			continue
		}
		reads := false
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, `"kind":"store_reader"`) {
				reads = strings.Contains(line, "reads_for_others")
			}
		}
		if reads {
			list = append(list, in)
		}
	}
	return list
}
