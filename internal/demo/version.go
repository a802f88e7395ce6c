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
	changeDeadline     = 20 * time.Second
	changeLargestShare = 0.2
	changeCallers      = 8
	changeTokens       = 12
	// changeRequestPause keeps the demo's connections from exhausting the machine's ports.
	changeRequestPause = 50 * time.Millisecond
)

// badVersion starts its own deployment and moves its traffic to a version that generates tokens slowly.
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
	startedAt := time.Now()
	if err := d.ChangeModelVersion(startedAt.Add(changeDeadline), changeLargestShare, 2); err != nil {
		return err.Error(), false
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	var sent, failed atomic.Int64
	for i := range changeCallers {
		callers.Go(func() {
			for n := uint64(0); loadCtx.Err() == nil; n++ {
				c := completion(d, n)
				c.Tokens, c.Instances = changeTokens, d.AddressesFrom(i)
				if _, err := c.Stream(loadCtx); err != nil && loadCtx.Err() == nil {
					failed.Add(1)
				}
				sent.Add(1)
				time.Sleep(changeRequestPause)
			}
		})
	}
	record, largestShare := awaitRollback(d, startedAt.Add(changeDeadline))
	elapsed := time.Since(startedAt)
	stopLoad()
	callers.Wait()
	observed := fmt.Sprintf("v2 was six times as slow; after %.1f s it was %s (%s) with %d of %d results, largest share %.2f; %d of %d answers failed",
		elapsed.Seconds(), record.State, record.Why, record.New.Requests, record.New.Requests+record.Old.Requests, largestShare, failed.Load(), sent.Load())
	return observed, record.State == version.RolledBack && record.New.Requests > 0 && largestShare <= changeLargestShare && failed.Load() == 0
}

// awaitRollback waits until all instances have rolled back or the deadline has passed, and returns the last record
// and the largest share seen.
func awaitRollback(d *deployment.Deployment, deadline time.Time) (version.Record, float64) {
	largestShare := 0.0
	for {
		var record version.Record
		rolledBack := 0
		for _, in := range d.Instances {
			views, _ := server.VersionChanges.Get(in.Board)
			record = views[deployment.ModelName].Record
			largestShare = max(largestShare, record.Share)
			if record.State == version.RolledBack {
				rolledBack++
			}
		}
		if rolledBack == len(d.Instances) || time.Now().After(deadline) {
			return record, largestShare
		}
		time.Sleep(5 * time.Millisecond)
	}
}
