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
	// controlWarm is the time after the start in which instances meet and deal slots.
	controlWarm = time.Second
	controlIdle = 2 * time.Second
	revisions   = 5
	// revisionTarget is the stated bound for a revision to be in force everywhere.
	revisionTarget = time.Second
	revisionWait   = 10 * time.Second
)

// control measures what idle instances cost and how long a revision of the catalogue takes.
func control(ctx context.Context, _ uint64) ([]Row, error) {
	var rows []Row
	for _, n := range []int{1, 3, 9} {
		got, err := controlCase(ctx, n)
		if err != nil {
			return rows, errors.Wrapf(err, "%d instances", n)
		}
		rows = append(rows, got...)
	}
	return rows, nil
}

func controlCase(ctx context.Context, n int) ([]Row, error) {
	d, err := deployment.Start(ctx, deployment.Config{Instances: n, Engines: 6, Services: 3, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits()})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	time.Sleep(controlWarm)
	calls, bytes, cpu, begun := d.Platform.CallCounts(), peerBytes(d), processorTime(), time.Now()
	time.Sleep(controlIdle)
	took := time.Since(begun).Seconds()
	after, bytesAfter, cpuAfter := d.Platform.CallCounts(), peerBytes(d), processorTime()
	name := fmt.Sprintf("%d idle instances", n)
	var rows []Row
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		rows = append(rows, row(name, Ours, "key-value calls a second, "+kind, "1/s", []float64{float64(after[kind]-calls[kind]) / took}))
	}
	rows = append(rows,
		row(name, Ours, "bytes between instances a second, per instance", "B/s", []float64{float64(bytesAfter-bytes) / took / float64(n)}),
		row(name, Ours, "processor time with the stand-ins (upper bound), per instance", "ms/s", []float64{ms(cpuAfter-cpu) / took / float64(n)}))
	times, err := revisionTimes(ctx, d)
	if err != nil {
		return rows, err
	}
	spread := row(name, Ours, "time until a revision is in force everywhere", "ms", times)
	return append(rows, spread.bound("under 1 s", spread.Max < ms(revisionTarget))), nil
}

func peerBytes(d *deployment.Deployment) int64 {
	n := int64(0)
	for _, in := range d.Instances {
		n += in.PeerBytes()
	}
	return n
}

// processorTime returns the processor time of this process, which runs the stand-ins as well.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// revisionTimes puts revisions one after another and returns how long each took to be in force everywhere.
func revisionTimes(ctx context.Context, d *deployment.Deployment) ([]float64, error) {
	var times []float64
	for range revisions {
		d.Catalogue.Revision++
		begun := time.Now()
		if err := d.PutCatalogue(d.Catalogue); err != nil {
			return nil, err
		}
		for !inForce(d) {
			if time.Since(begun) > revisionWait || ctx.Err() != nil {
				return nil, errors.Newf("revision %d is not in force after %v", d.Catalogue.Revision, time.Since(begun))
			}
			time.Sleep(time.Millisecond)
		}
		times = append(times, ms(time.Since(begun)))
	}
	return times, nil
}

// inForce reports whether all instances serve the deployment's revision.
func inForce(d *deployment.Deployment) bool {
	for _, in := range d.Instances {
		if c, ok := server.Catalogue.Get(in.Board); !ok || c.Revision != d.Catalogue.Revision {
			return false
		}
	}
	return true
}
