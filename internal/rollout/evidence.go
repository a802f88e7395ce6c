package rollout

import (
	"time"

	"bambooferry.example/bambooferry/pkg/version"
)

// Observe counts a result of a request for a pool.
func (c *Controller) Observe(now time.Time, pool string, r version.Result) {
	c.mu.Lock()
	p := c.pool(pool)
	if p.split.Change == 0 || r.Version != p.split.Version {
		r.Version = formerVersion
	}
	c.mu.Unlock()
	p.counter.Add(now, r)
}

// HandleEvidence adds the reports of another instance.
func (c *Controller) HandleEvidence(now time.Time, data []byte) {
	list, err := version.DecodeReports(data)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addReports(now, list)
}

func (c *Controller) addReports(now time.Time, list []version.Report) {
	for _, r := range list {
		for _, p := range c.pools {
			if p.change != nil && p.change.Plan.ID == r.ChangeID {
				p.change.Step(now, version.Event{Kind: version.Reported, Report: r})
			}
		}
	}
}

func (c *Controller) takeReports() []version.Report {
	var list []version.Report
	for _, p := range c.pools {
		if p.counting == 0 || len(list) == version.MaxReports {
			continue
		}
		if r := p.counter.TakeReport(); len(r.Routes) > 0 && !p.finished() {
			list = append(list, r)
		}
	}
	return list
}
