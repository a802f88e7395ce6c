package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runLateListing checks BUDGET for a request that crashes its engines after the first write with which each instance lists
// itself took effect late.
func runLateListing(record *recorder, trouble bool) (bool, error) {
	const (
		lateBy = 4 * time.Second
		// maxLate of the first twelve writes to the store are late, which is a share of 0.33.
		maxLate = 4
		settled = 36 * time.Second
	)
	spec := engineSpec{service: "desk", slots: 6, work: 15 * time.Millisecond, downTime: 3 * time.Second}
	if trouble {
		spec.crashes = isCrashingCall
	}
	p := &plan{instances: 8, engines: 12, spec: spec}
	var mu sync.Mutex
	seen, writes, late := map[string]bool{}, 0, 0
	p.late = func(list []item) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		writes++
		for _, it := range list {
			if strings.HasPrefix(it.Key, "bambooferry/instances/") && !seen[it.Key] {
				seen[it.Key] = true
				if trouble && late < maxLate {
					late++
					return lateBy
				}
			}
		}
		return 0
	}
	d, err := startDeployment(record, p)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(settled)
	listed := 0
	d.store.mu.Lock()
	for key := range d.store.items {
		if strings.HasPrefix(key, "bambooferry/instances/") {
			listed++
		}
	}
	d.store.mu.Unlock()
	mu.Lock()
	record.Summary("%d of %d writes to the store took effect %.0f s late and got no answer; %d of %d instances are listed", late, writes, lateBy.Seconds(), listed, len(d.instances))
	mu.Unlock()
	end := time.Now().Add(45 * time.Second)
	sound := d.startSoundCalls(50*time.Millisecond, end)
	var crashing []*request
	for i := 0; time.Now().Before(end); i++ {
		r := &request{id: newID("crashing"), method: http.MethodPost, path: pathUnsafe + "return", key: keys[0], body: []byte(crashingBody), timeout: 1500 * time.Millisecond, instance: d.instances[i%len(d.instances)]}
		crashing = append(crashing, r)
		d.calls.Go(func() { d.send(r) })
		time.Sleep(time.Second)
	}
	d.calls.Wait()
	if in := d.endedInstance(); in != nil {
		return false, fmt.Errorf("%s has ended: %w", in.name, in.exitErr)
	}
	third, retries := d.crashAt(maxCrashesBefore), 0
	for _, r := range crashing {
		if !third.IsZero() && d.runsAfter(r.id, third.Add(contactTime)) > 0 {
			retries++
		}
	}
	served, lost := sound.counts(d)
	record.Summary("%d crashes; later than contactMs after the third one %d retries reached engines (%d are allowed); sound calls: %d served, %d lost after they had run", d.crashCount(), retries, maxCrashingRetries, served, lost)
	return retries <= maxCrashingRetries, nil
}
