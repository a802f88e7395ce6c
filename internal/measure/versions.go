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
	// changePause keeps the connections of the callers from using up the machine's ports.
	changePause = 70 * time.Millisecond
	laterAfter  = 4 * time.Second
)

// changeCase is one version and how it is bad, if it is.
type changeCase struct {
	name   string
	faults standin.Faults
	// from is when the version turns bad.
	from time.Duration
}

var changeCases = []changeCase{
	{"good version", standin.Faults{}, 0},
	{"failing version", standin.Faults{FailVersion: "v2"}, 0},
	{"version 6 times as slow", standin.Faults{SlowVersion: "v2", VersionSlowdown: 6}, 0},
	{"version failing after 4 s", standin.Faults{FailVersion: "v2", VersionFaults: standin.VersionFaults{BadAfter: catalogue.Duration(laterAfter)}}, laterAfter},
}

// versions measures how long and to how many requests a bad version is exposed, and good ones that go back.
func versions(ctx context.Context, seed uint64) ([]Row, error) {
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
	return append(slices.Concat(rows...), simulatedChanges(seed)...), nil
}

func (c changeCase) run(ctx context.Context, seed uint64) ([]Row, error) {
	e := deployment.DefaultEngine()
	e.FirstToken, e.TokenInterval, e.Slots, e.MaxRequests, e.Versions = 5*time.Millisecond, time.Millisecond, 32, 64, []string{"v1", "v2"}
	l := version.DefaultLimits()
	l.MinDwell = 200 * time.Millisecond
	d, err := deployment.Start(ctx, deployment.Config{Instances: 3, Engines: 4, EngineTemplate: e, Limits: server.DefaultLimits(), VersionLimits: l})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	var sent, failed atomic.Int64
	for i := range changeCallers {
		group.Go(func() {
			for n := seed; load.Err() == nil; n++ {
				q := completion(d, n, changeTokens)
				q.Prompt, q.Instances = fmt.Sprintf("caller %d", i), d.AddressesFrom(i)
				if _, err := q.Stream(load); err != nil && load.Err() == nil {
					failed.Add(1)
				}
				sent.Add(1)
				time.Sleep(changePause)
			}
		})
	}
	begun := time.Now()
	for _, e := range d.Engines {
		e.SetFaults(c.faults)
	}
	if err := d.ChangeModelVersion(begun.Add(changeDeadline), changeShare, 2); err != nil {
		return nil, err
	}
	wanted := version.RolledBack
	if c.faults == (standin.Faults{}) {
		wanted = version.Done
	}
	x := watchChange(ctx, d, begun, c.from, wanted)
	stop()
	group.Wait()
	return c.rows(x, wanted, float64(failed.Load()), float64(sent.Load())), nil
}

func (c changeCase) rows(x exposure, wanted version.State, failed, sent float64) []Row {
	figure := "rolled back by its deadline"
	if wanted == version.Done {
		figure = "done by its deadline"
	}
	ok := 0.0
	if x.reached {
		ok = 1
	}
	rows := []Row{
		row(c.name, Ours, figure, "of 1", []float64{ok}).bound("1", x.reached),
		row(c.name, Ours, "time until then", "s", []float64{x.took.Seconds()}),
	}
	if wanted == version.RolledBack {
		rows = append(rows,
			row(c.name, Ours, "largest share while bad", "share", []float64{x.largest}),
			row(c.name, Ours, "time with a share above 0 while bad", "s", []float64{x.exposed.Seconds()}),
			row(c.name, Ours, "requests to the new version until rolled back", "count", []float64{x.requests}))
	}
	return append(rows,
		row(c.name, Ours, "failed answers", "count", []float64{failed}),
		row(c.name, Ours, "answers in all", "count", []float64{sent}))
}

// exposure is what a change's records showed.
type exposure struct {
	reached  bool
	took     time.Duration
	exposed  time.Duration
	largest  float64
	requests float64
}

// watchChange polls the records of all instances until all are in the wanted state or the deadline passes.
func watchChange(ctx context.Context, d *deployment.Deployment, begun time.Time, badFrom time.Duration, wanted version.State) exposure {
	x := exposure{}
	last := time.Now()
	for time.Since(begun) < changeDeadline && ctx.Err() == nil {
		there, share := 0, 0.0
		for _, in := range d.Instances {
			views, _ := server.VersionChanges.Get(in.Board)
			r := views[deployment.ModelName].Record
			share = max(share, r.Share)
			x.requests = max(x.requests, float64(r.New.Requests))
			if r.State == wanted {
				there++
			}
		}
		now := time.Now()
		if share > 0 && now.Sub(begun) >= badFrom {
			x.largest = max(x.largest, share)
			x.exposed += now.Sub(last)
		}
		last = now
		if there == len(d.Instances) {
			x.reached = true
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	x.took = time.Since(begun)
	return x
}
