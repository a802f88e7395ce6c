package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// configApplyTime and drainTime are configApplyMs and drainMs of the settings.
const (
	configApplyTime = 2 * time.Second
	drainTime       = 2 * time.Second
)

// readerRounds is the number of times that processes are killed.
const readerRounds = 3

// runReaderRestart checks DRAIN for engines that report draining, and looks at keys that are taken away, while the processes of
// two instances are killed and start again.
func runReaderRestart(record *recorder, trouble bool) (bool, error) {
	const calm, roundTime = 4 * time.Second, 10 * time.Second
	p := &plan{instances: 8, engines: 4 + readerRounds, spec: engineSpec{service: "desk", slots: 6, work: 15 * time.Millisecond}}
	d, err := startDeployment(record, p)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	start := time.Now()
	d.startSoundCalls(20*time.Millisecond, start.Add(calm+readerRounds*roundTime))
	held := true
	for i := range readerRounds {
		time.Sleep(time.Until(start.Add(calm + time.Duration(i)*roundTime)))
		ok, err := d.readerRound(p, i, trouble)
		if err != nil {
			return false, err
		}
		held = held && ok
	}
	d.calls.Wait()
	return held, nil
}

// readerRound kills and restarts the readers, takes a key away and lets an engine report draining. It reports whether
// the instances that are not touched left the engine alone in time.
func (d *deployment) readerRound(p *plan, i int, trouble bool) (bool, error) {
	const (
		// restartDelay is the time after which the platform starts a process again, and changeAfter the time from the kill to the
		// changes.
		restartDelay, changeAfter = 500 * time.Millisecond, 100 * time.Millisecond
		observeFor, useEvery      = 5 * time.Second, 100 * time.Millisecond
	)
	record, readers := d.record, d.readers()
	if len(readers) != 2 {
		return false, fmt.Errorf("the logs name %d instances that read the store for the others", len(readers))
	}
	var others []*instance
	for _, in := range d.instances {
		if !slices.Contains(readers, in) {
			others = append(others, in)
		}
	}
	restarted := make(chan error, 1)
	if trouble {
		for _, in := range readers {
			record.Printf("killed %s", in.name)
			_ = in.cmd.Process.Kill()
		}
		time.AfterFunc(restartDelay, func() {
			var err error
			for _, in := range readers {
				record.Printf("started %s again", in.name)
				err = errors.Join(err, d.restart(in))
			}
			restarted <- err
		})
	} else {
		restarted <- nil
	}
	time.Sleep(changeAfter)
	next := config(p)
	next["version"] = 8 + i
	last := len(keys) - 1 - i
	next["tenants"] = next["tenants"].([]map[string]any)[:last]
	d.store.Put("op/config", next)
	acked := time.Now()
	record.Printf("configuration %d without %s acknowledged", 8+i, keys[last])
	leaving := d.engines[i]
	leaving.drain()
	drained := time.Now()
	record.Printf("draining of the engine at %s acknowledged", leaving.address)
	var uses []*request
	for n := 0; time.Since(acked) < observeFor; n++ {
		for _, in := range others {
			r := &request{id: newID("revoked"), method: http.MethodGet, path: fmt.Sprintf("%srevoked-%d", pathSafe, n), key: keys[last], timeout: 1500 * time.Millisecond, instance: in}
			uses = append(uses, r)
			d.calls.Go(func() { d.send(r) })
		}
		time.Sleep(useEvery)
	}
	if err := <-restarted; err != nil {
		return false, err
	}
	// The last calls have ended by then.
	time.Sleep(2 * time.Second)
	withKey, latestUse := map[string]int{}, time.Duration(0)
	for _, r := range uses {
		if age := r.sentAt.Sub(acked); age > configApplyTime && d.runsOf(r.id) > 0 {
			withKey[r.instance.name]++
			latestUse = max(latestUse, age)
		}
	}
	atLeaving, latestRun := map[string]int{}, time.Duration(0)
	d.mu.Lock()
	for _, run := range d.log {
		if age := run.at.Sub(drained); run.engine == leaving && age > drainTime && slices.Contains(others, d.sentTo[run.request]) {
			atLeaving[d.sentTo[run.request].name]++
			latestRun = max(latestRun, age)
		}
	}
	d.mu.Unlock()
	record.Summary("round %d: requests from untouched instances that reached the draining engine later than drainMs after the acknowledgement: %v, the last one after %.2f s; beside it, requests with the key that was taken away, sent later than configApplyMs after it and run: %v, the last one after %.2f s",
		i+1, atLeaving, latestRun.Seconds(), withKey, latestUse.Seconds())
	return len(atLeaving) == 0, nil
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
