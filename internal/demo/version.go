package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	versionDeadline = 20 * time.Second
	versionShare    = 0.2
	versionCallers  = 8
	versionTokens   = 12
	// versionPause keeps the connections of the demo from using up the machine's ports.
	versionPause = 50 * time.Millisecond
)

// badVersion moves traffic to a version whose tokens come slowly, on a deployment of its own.
func badVersion(ctx context.Context, _ *deployment.Deployment) (string, bool) {
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.Slots, e.MaxRequests, e.Versions = 5*time.Millisecond, time.Millisecond, 32, 64, []string{"v1", "v2"}
	d, err := deployment.Start(ctx, deployment.Config{Instances: 3, Engines: 4, EngineTemplate: e, Limits: server.DefaultLimits()})
	if err != nil {
		return err.Error(), false
	}
	defer d.Close()
	for _, e := range d.Engines {
		e.SetFaults(standin.Faults{SlowVersion: "v2", VersionSlowdown: 6})
	}
	begun := time.Now()
	if err := d.ChangeModelVersion(begun.Add(versionDeadline), versionShare, 2); err != nil {
		return err.Error(), false
	}
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	var sent, failed atomic.Int64
	for i := range versionCallers {
		group.Go(func() {
			for n := uint64(0); load.Err() == nil; n++ {
				c := completion(d, n)
				c.Tokens, c.Instances = versionTokens, d.AddressesFrom(i)
				if _, err := c.Stream(load); err != nil && load.Err() == nil {
					failed.Add(1)
				}
				sent.Add(1)
				time.Sleep(versionPause)
			}
		})
	}
	r, share := awaitRollback(d, begun.Add(versionDeadline))
	took := time.Since(begun)
	stop()
	group.Wait()
	happened := fmt.Sprintf("v2 was six times as slow; after %.1f s it was %s (%s) with %d of %d results, largest share %.2f; %d of %d answers failed",
		took.Seconds(), r.State, r.Why, r.New.Requests, r.New.Requests+r.Old.Requests, share, failed.Load(), sent.Load())
	return happened, r.State == version.RolledBack && r.New.Requests > 0 && share <= versionShare && failed.Load() == 0
}

// awaitRollback waits until all instances have rolled back and returns the record and the largest share seen.
func awaitRollback(d *deployment.Deployment, until time.Time) (version.Record, float64) {
	largest := 0.0
	for {
		var r version.Record
		back := 0
		for _, in := range d.Instances {
			views, _ := server.VersionChanges.Get(in.Board)
			r = views[deployment.ModelName].Record
			largest = max(largest, r.Share)
			if r.State == version.RolledBack {
				back++
			}
		}
		if back == len(d.Instances) || time.Now().After(until) {
			return r, largest
		}
		time.Sleep(5 * time.Millisecond)
	}
}
