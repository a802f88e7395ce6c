package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	standin "bambooferry.example/bambooferry/internal/standin/engine"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

const (
	changeDeadline = 15 * time.Second
	changeShare    = 0.2
	changeCallers  = 9
	changeTokens   = 12
	// changeRequestPause keeps the callers' connections from exhausting the machine's ports.
	changeRequestPause = 70 * time.Millisecond
	lateFaultDelay     = 4 * time.Second
)

// changeCase is a version with its defect, if it has one.
type changeCase struct {
	name   string
	faults standin.Faults
	// badFrom is the time after the start at which the defect begins.
	badFrom time.Duration
}

var changeCases = []changeCase{
	{"good version", standin.Faults{}, 0},
	{"failing version", standin.Faults{FailVersion: "v2"}, 0},
	{"version 6 times as slow", standin.Faults{SlowVersion: "v2", VersionSlowdown: 6}, 0},
	{"version failing after 4 s", standin.Faults{FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAfter: catalogue.Duration(lateFaultDelay)}}, lateFaultDelay},
}

// measureVersions measures for how long and to how many requests a bad version is exposed, and how often good versions
// are rolled back.
func measureVersions(ctx context.Context, seed uint64) ([]Row, error) {
	rows := make([][]Row, len(changeCases))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, c := range changeCases {
		group.Go(func() (err error) {
			rows[i], err = c.run(groupCtx, seed)
			return errors.Wrap(err, c.name)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return append(slices.Concat(rows...), simulateChanges(seed)...), nil
}

func (c changeCase) run(ctx context.Context, seed uint64) ([]Row, error) {
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.Slots, e.MaxRequests, e.Versions = 5*time.Millisecond, time.Millisecond, 32, 64, []string{"v1", "v2"}
	limits := version.DefaultLimits()
	limits.MinDwell = 200 * time.Millisecond
	d, err := deployment.Start(ctx, deployment.Config{Instances: 3, Engines: 4, EngineTemplate: e, Limits: server.DefaultLimits(), VersionLimits: limits})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stopLoad()
	var sent, failed atomic.Int64
	for i := range changeCallers {
		callers.Go(func() {
			for n := seed; loadCtx.Err() == nil; n++ {
				request := completion(d, n, changeTokens)
				request.Prompt, request.Instances = fmt.Sprintf("caller %d", i), d.AddressesFrom(i)
				if _, err := request.Stream(loadCtx); err != nil && loadCtx.Err() == nil {
					failed.Add(1)
				}
				sent.Add(1)
				time.Sleep(changeRequestPause)
			}
		})
	}
	startedAt := time.Now()
	for _, e := range d.Engines {
		e.SetFaults(c.faults)
	}
	if err := d.ChangeModelVersion(startedAt.Add(changeDeadline), changeShare, 2); err != nil {
		return nil, err
	}
	wantState := version.RolledBack
	if c.faults == (standin.Faults{}) {
		wantState = version.Done
	}
	observed := observeChange(ctx, d, startedAt, c.badFrom, wantState)
	stopLoad()
	callers.Wait()
	return c.rows(observed, wantState, float64(failed.Load()), float64(sent.Load())), nil
}

func (c changeCase) rows(observed exposure, wantState version.State, failed, sent float64) []Row {
	metric := "rolled back by its deadline"
	if wantState == version.Done {
		metric = "done by its deadline"
	}
	reached := 0.0
	if observed.reached {
		reached = 1
	}
	rows := []Row{
		row(c.name, Ours, metric, "of 1", []float64{reached}).withTarget("1", observed.reached),
		row(c.name, Ours, "time until then", "s", []float64{observed.elapsed.Seconds()}),
	}
	if wantState == version.RolledBack {
		rows = append(rows,
			row(c.name, Ours, "largest share while bad", "share", []float64{observed.largestShare}),
			row(c.name, Ours, "time with a share above 0 while bad", "s", []float64{observed.exposedTime.Seconds()}),
			row(c.name, Ours, "requests to the new version until rolled back", "count", []float64{observed.requests}))
	}
	return append(rows,
		row(c.name, Ours, "failed answers", "count", []float64{failed}),
		row(c.name, Ours, "answers in all", "count", []float64{sent}))
}

// exposure summarises the records of a change.
type exposure struct {
	// reached is set if all instances were in the wanted state before the deadline.
	reached      bool
	elapsed      time.Duration
	exposedTime  time.Duration
	largestShare float64
	requests     float64
}

// observeChange polls the records of all instances until all are in the wanted state or the deadline has passed.
func observeChange(ctx context.Context, d *deployment.Deployment, startedAt time.Time, badFrom time.Duration, wantState version.State) exposure {
	observed := exposure{}
	lastPoll := time.Now()
	for time.Since(startedAt) < changeDeadline && ctx.Err() == nil {
		inState, share := 0, 0.0
		for _, in := range d.Instances {
			views, _ := server.VersionChanges.Get(in.Board)
			r := views[deployment.ModelName].Record
			share = max(share, r.Share)
			observed.requests = max(observed.requests, float64(r.New.Requests))
			if r.State == wantState {
				inState++
			}
		}
		now := time.Now()
		if share > 0 && now.Sub(startedAt) >= badFrom {
			observed.largestShare = max(observed.largestShare, share)
			observed.exposedTime += now.Sub(lastPoll)
		}
		lastPoll = now
		if inState == len(d.Instances) {
			observed.reached = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	observed.elapsed = time.Since(startedAt)
	return observed
}
