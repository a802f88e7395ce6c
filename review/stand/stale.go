package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// configApplyTime and drainTime are configApplyMs and drainMs of the settings.
const (
	configApplyTime = 2 * time.Second
	drainTime       = 2 * time.Second
)

// keyUse is one use of a key that was taken away.
type keyUse struct {
	request *request
	answer  *answer
}

// runReaderRestart checks CONFIG for a key that is taken away while the processes of two instances are killed and start
// again.
func runReaderRestart(record *recorder, trouble bool) (bool, error) {
	const (
		calm = 4 * time.Second
		// restartDelay is the time after which the platform starts a process again, and changeAfter the time from the kill to the
		// change of the configuration.
		restartDelay, changeAfter = 500 * time.Millisecond, 100 * time.Millisecond
		observeFor                = 6 * time.Second
		useEvery                  = 100 * time.Millisecond
	)
	p := &plan{instances: 8, engines: 4, spec: engineSpec{service: "desk", slots: 6, work: 15 * time.Millisecond}}
	d, err := startDeployment(record, p)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	start := time.Now()
	d.startSoundCalls(20*time.Millisecond, start.Add(calm+observeFor+time.Second))
	time.Sleep(calm)
	readers := d.readers()
	record.Summary("instances that read the store for the others: %d", len(readers))
	if len(readers) != 2 {
		return false, errors.New("the logs do not name two readers")
	}
	var others []*instance
	for _, in := range d.instances {
		if !slices.Contains(readers, in) {
			others = append(others, in)
		}
	}
	if trouble {
		for _, in := range readers {
			record.Printf("killed %s", in.name)
			_ = in.cmd.Process.Kill()
		}
		time.AfterFunc(restartDelay, func() {
			for _, in := range readers {
				record.Printf("started %s again", in.name)
				if err := d.restart(in); err != nil {
					record.Printf("%s did not start: %v", in.name, err)
				}
			}
		})
	}
	time.Sleep(changeAfter)
	next := config(p)
	next["version"] = 8
	next["tenants"] = next["tenants"].([]map[string]any)[:2]
	d.store.Put("op/config", next)
	acked := time.Now()
	record.Printf("configuration 8 without the key of tenant-3 acknowledged")
	leaving := d.engines[0]
	leaving.drain()
	drained := time.Now()
	record.Printf("draining of the engine at %s acknowledged", leaving.address)
	var mu sync.Mutex
	var uses []keyUse
	for i := 0; time.Since(acked) < observeFor; i++ {
		for _, in := range others {
			r := &request{id: newID("revoked"), method: http.MethodGet, path: fmt.Sprintf("%srevoked-%d", pathSafe, i), key: keys[2], timeout: 1500 * time.Millisecond, instance: in}
			d.calls.Go(func() {
				a := d.send(r)
				mu.Lock()
				defer mu.Unlock()
				uses = append(uses, keyUse{r, a})
			})
		}
		time.Sleep(useEvery)
	}
	d.calls.Wait()
	late, latest := map[string]int{}, time.Duration(0)
	for _, u := range uses {
		if age := u.request.sentAt.Sub(acked); age > configApplyTime && d.runsOf(u.request.id) > 0 {
			late[u.request.instance.name]++
			latest = max(latest, age)
		}
	}
	atLeaving := 0
	d.mu.Lock()
	for _, run := range d.log {
		if run.engine == leaving && run.at.Sub(drained) > drainTime {
			atLeaving++
		}
	}
	d.mu.Unlock()
	record.Summary("beside it: requests that reached the draining engine later than drainMs after the acknowledgement: %d", atLeaving)
	record.Summary("requests with the key that were sent later than configApplyMs after the acknowledgement and that an engine ran, by instance: %v; the last one %.2f s after it", late, latest.Seconds())
	return len(late) == 0, nil
}

// restart starts the process of an instance again with the same settings.
func (d *deployment) restart(in *instance) error {
	<-in.exited
	i := slices.Index(d.instances, in)
	again, err := startInstance(d.dir, in.name, in.ip, zones[i%len(zones)], d.seeds, d.storeAddress)
	if err != nil {
		return err
	}
	d.instances[i] = again
	return nil
}
