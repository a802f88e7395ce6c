// Command 4 kills the two instances that may decide on a rollout, and checks how long the bad version of that rollout
// goes on to get requests from the others.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"bambooferry.example/bambooferry/review/lab"
)

const (
	// bookCallers send requests one after another with a mean pause.
	bookCallers = 24
	meanPause   = 30 * time.Millisecond
	interval    = 60 * time.Second
	// killAfter is the time after the order at which the instances are killed and the new version turns bad.
	killAfter = 10 * time.Second
	badShare  = 0.5
	// watchTime is the time for which the traffic goes on after that.
	watchTime = 30 * time.Second
	// rollback is the time after the fiftieth bad answer from which the version must get nothing.
	rollback   = 5 * time.Second
	badAnswers = 50
	// readers is the number of instances that read the store for the others, and readWindow the time within which they
	// have sent more watches than the others.
	readers    = 2
	readWindow = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	rec, err := lab.NewRecord(os.Getenv("CASE_DIR"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	d, err := lab.NewDeployment(rec, 6, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.Stop()
	broken, err := play(&lab.Desk{Deployment: d, BadVersion: "v2", BadShare: badShare}, os.Getenv("TROUBLE") != "0")
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

func play(d *lab.Desk, trouble bool) (broken bool, err error) {
	d.PutConfig()
	if _, err := d.StartTargets("desk", "v1"); err != nil {
		return false, err
	}
	if _, err := d.StartTargets("info", "v1"); err != nil {
		return false, err
	}
	if err := d.Start(); err != nil {
		return false, err
	}
	stop := d.StartTraffic(bookCallers, 0, meanPause)
	defer stop()
	time.Sleep(5 * time.Second)
	orderedAt := time.Now()
	d.Order("v2", interval)
	if _, err := d.StartTargets("desk", "v2"); err != nil {
		return false, err
	}
	time.Sleep(time.Until(orderedAt.Add(killAfter)))
	badFrom := time.Now()
	d.SetBad(badFrom)
	d.Record.Printf("v2 turns bad")
	if trouble {
		names := d.Store.Readers(readers, readWindow)
		for _, in := range d.Instances {
			if slices.Contains(names, in.Name) {
				in.Kill()
				d.Record.Printf("%s is killed and does not come back", in.Name)
			}
		}
	}
	time.Sleep(watchTime)
	stop()
	for _, in := range d.Instances {
		if !trouble && !in.Running() {
			return false, errors.New(in.Name + " has ended")
		}
	}
	return judge(d, orderedAt, badFrom), nil
}

// judge checks the rule from what the targets have seen.
func judge(d *lab.Desk, orderedAt, badFrom time.Time) (broken bool) {
	bad, all, exposed := 0, 0, 0
	var fiftieth, last time.Time
	late := 0
	for _, a := range d.Arrivals("desk", orderedAt, time.Now()) {
		all++
		if a.Version != d.BadVersion {
			continue
		}
		exposed++
		if a.Bad {
			if bad++; bad == badAnswers {
				fiftieth = a.At
			}
		}
		if !fiftieth.IsZero() && a.At.After(fiftieth.Add(rollback)) {
			late++
			last = a.At
		}
	}
	state, version := d.Status()
	d.Report("EXPOSURE: %d bad answers; %d requests reached v2 later than %v after the %dth, the last %.1f s after v2 turned bad", bad, late, rollback, badAnswers, max(last.Sub(badFrom).Seconds(), 0))
	d.Report("v2 got %d of the %d requests that reached its service; status: %s %s", exposed, all, version, state)
	return late > 0
}
