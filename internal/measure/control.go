package measure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
)

const (
	// controlWarmUp is the time in which instances find each other and distribute slots after the start.
	controlWarmUp   = time.Second
	controlIdleTime = 2 * time.Second
	revisionCount   = 5
	// revisionTarget is the stated bound on the time until a revision is in force everywhere.
	revisionTarget  = time.Second
	revisionTimeout = 10 * time.Second
)

// measureControl measures the cost of idle instances, and how long a revision of the catalogue takes to be in force everywhere.
func measureControl(ctx context.Context, _ uint64) ([]Row, error) {
	var rows []Row
	for _, n := range []int{1, 3, 9} {
		caseRows, err := measureIdleInstances(ctx, n)
		if err != nil {
			return rows, errors.Wrapf(err, "%d instances", n)
		}
		rows = append(rows, caseRows...)
	}
	return rows, nil
}

// measureIdleInstances measures n idle instances and then the distribution of revisions among them.
func measureIdleInstances(ctx context.Context, n int) ([]Row, error) {
	d, err := deployment.Start(ctx, deployment.Config{Instances: n, Engines: 6, Services: 3, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits()})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	time.Sleep(controlWarmUp)
	callsBefore, bytesBefore, cpuBefore, startedAt := d.Platform.CallCounts(), peerBytes(d), processorTime(), time.Now()
	time.Sleep(controlIdleTime)
	elapsed := time.Since(startedAt).Seconds()
	callsAfter, bytesAfter, cpuAfter := d.Platform.CallCounts(), peerBytes(d), processorTime()
	caseName := fmt.Sprintf("%d idle instances", n)
	var rows []Row
	for _, kind := range slices.Sorted(maps.Keys(callsAfter)) {
		rows = append(rows, row(caseName, Ours, "key-value calls a second, "+kind, "1/s", []float64{float64(callsAfter[kind]-callsBefore[kind]) / elapsed}))
	}
	rows = append(rows,
		row(caseName, Ours, "bytes between instances a second, per instance", "B/s", []float64{float64(bytesAfter-bytesBefore) / elapsed / float64(n)}),
		row(caseName, Ours, "processor time with the stand-ins (upper bound), per instance", "ms/s", []float64{milliseconds(cpuAfter-cpuBefore) / elapsed / float64(n)}))
	times, err := measureRevisionTimes(ctx, d)
	if err != nil {
		return rows, err
	}
	revisionRow := row(caseName, Ours, "time until a revision is in force everywhere", "ms", times)
	return append(rows, revisionRow.withTarget("under 1 s", revisionRow.Max < milliseconds(revisionTarget))), nil
}

// peerBytes returns the number of bytes carried between the instances.
func peerBytes(d *deployment.Deployment) int64 {
	total := int64(0)
	for _, in := range d.Instances {
		total += in.PeerBytes()
	}
	return total
}

// processorTime returns the processor time of this process, which includes the stand-ins.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureRevisionTimes publishes revisions one after another and returns how long each took to be in force everywhere.
func measureRevisionTimes(ctx context.Context, d *deployment.Deployment) ([]float64, error) {
	var times []float64
	for range revisionCount {
		d.Catalogue.Revision++
		startedAt := time.Now()
		if err := d.PutCatalogue(d.Catalogue); err != nil {
			return nil, err
		}
		for !revisionInForce(d) {
			if time.Since(startedAt) > revisionTimeout || ctx.Err() != nil {
				return nil, errors.Newf("revision %d is not in force after %v", d.Catalogue.Revision, time.Since(startedAt))
			}
			time.Sleep(time.Millisecond)
		}
		times = append(times, milliseconds(time.Since(startedAt)))
	}
	return times, nil
}

// revisionInForce reports whether all instances serve the deployment's present revision.
func revisionInForce(d *deployment.Deployment) bool {
	for _, in := range d.Instances {
		if c, ok := server.Catalogue.Get(in.Board); !ok || c.Revision != d.Catalogue.Revision {
			return false
		}
	}
	return true
}
