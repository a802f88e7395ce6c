package relay

import (
	"math"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/engine/policy"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/workload"
)

const (
	// paceReportWindow is how long a slowness that a target has stated is told to other instances: one or two messages.
	// Longer repeats would cost more bytes than a lost statement does harm.
	paceReportWindow = 200 * time.Millisecond
	// maxStatedTokens bounds the token counts that a caller states, so that a false one does not distort what is known of
	// other requests.
	maxStatedTokens = 1 << 20
	// expectedTolerance is the relative difference up to which a statement is what was expected, so that others are not told
	// of it within repeatPace of the last one.
	expectedTolerance = 0.1
	repeatPace        = 5 * time.Second
	// maxPaceAge bounds the age of a statement that another instance passes on.
	maxPaceAge = 5 * time.Second
	// copyMemoryShare is the share of an engine's memory that is left for copies of other engines' requests and for prompts
	// that it keeps: instances do not tell each other of copies.
	copyMemoryShare = 0.4
	// minRemainingShare bounds from below the output that is expected of a stream that has written more than was expected.
	minRemainingShare = 0.15
)

// placement is what the instance knows of the work at a pool's targets. The pool's lock guards it.
type placement struct {
	// addresses holds the targets' addresses.
	addresses map[string]netip.AddrPort
	estimator workload.Estimator
	eventSize workload.EventSize
	paces     workload.Paces
	backlog   workload.Backlog
	predictor workload.Predictor
	// toldAt holds when other instances were last told a statement of a target.
	toldAt map[netip.AddrPort]time.Time
	// engines is set if the pool's targets run a model.
	engines bool
	// memoryTokens is the number of tokens that an engine keeps for requests, or 0.
	memoryTokens float64
}

func (pl *placement) init() {
	pl.backlog.Pace = poolPace{pl}
	pl.predictor = workload.Predictor{Backlog: &pl.backlog, Memory: func(string) float64 { return pl.memoryTokens }}
}

// update applies the pool's model and keeps what is known of the present targets only.
func (pl *placement) update(model *route.EngineSpec, targets []route.Target, names []string) {
	pl.engines, pl.memoryTokens = model != nil, 0
	if model != nil {
		pl.memoryTokens = (1 - copyMemoryShare) * float64(model.MemoryTokens)
	}
	pl.addresses = make(map[string]netip.AddrPort, len(targets))
	for i := range targets {
		pl.addresses[targets[i].ID] = targets[i].Address
	}
	pl.backlog.Retain(names)
}

// isNews reports whether other instances are to be told what a target has stated.
func (pl *placement) isNews(now time.Time, address netip.AddrPort, slowness float64) bool {
	expected := pl.paces.Slowness(now, address)
	if math.Abs(slowness-expected) <= expectedTolerance*expected && now.Sub(pl.toldAt[address]) < repeatPace {
		return false
	}
	if pl.toldAt == nil || len(pl.toldAt) > 2*len(pl.addresses) {
		pl.toldAt = map[netip.AddrPort]time.Time{}
	}
	pl.toldAt[address] = now
	return true
}

// enabled reports whether requests are placed by the work that they are expected to be: once a target has stated how slow its
// machine is. Targets that are alike are chosen as well by counts, which need less bytes.
func (pl *placement) enabled() bool { return pl.engines && pl.paces.Stated() }

// poolPace gives the pace of targets by name.
type poolPace struct{ *placement }

// Slowness returns how many times as long as usual a target takes now.
func (p poolPace) Slowness(now time.Time, target string) float64 {
	return p.paces.Slowness(now, p.addresses[target])
}

// ReadTime returns the usual time to read a token.
func (p poolPace) ReadTime() time.Duration { return p.paces.ReadTime() }

// StepTime returns the usual time to write a token.
func (p poolPace) StepTime() time.Duration { return p.paces.StepTime() }

// expectedWork is the work that a request is expected to be, and what it would meet at the target that was last chosen.
type expectedWork struct {
	workload.Work
	// id identifies the request at its targets.
	id string
	// objective is the time within which its first output, or the answer of a call, is due.
	objective time.Duration
	// predicted is set once a target was chosen by prediction.
	predicted  bool
	prediction policy.Prediction
	slowness   float64
	// alone is set if nothing else was known to be at that target.
	alone bool
}

// inputs returns the figures that a choice was based on, for the log.
func (w *expectedWork) inputs() []timeline.Input {
	if !w.predicted {
		return nil
	}
	return []timeline.Input{
		{Name: "first_output_ms", Value: w.prediction.FirstOutput.Milliseconds()},
		{Name: "finish_ms", Value: w.prediction.Finish.Milliseconds()},
		{Name: "delay_to_others_ms", Value: w.prediction.DelayToOthers.Milliseconds()},
		{Name: "slowness_percent", Value: int64(100 * w.slowness)},
	}
}

// workRequest describes the request to the estimator.
func (req *callerRequest) workRequest() workload.Request {
	r := workload.Request{Route: req.route.Name, Workspace: workspaceName(req), Bytes: len(req.body)}
	if req.route.Kind == route.Streaming {
		r.PromptTokens, r.OutputTokens, r.OutputHint = min(req.PromptTokens, maxStatedTokens), min(req.OutputTokens, maxStatedTokens), min(req.OutputHint, maxStatedTokens)
	}
	return r
}

// expectedWork returns the work that is left of a request of which some events were delivered, or nil if its pool does not
// place requests by that.
func (req *callerRequest) expectedWork(now time.Time, events uint64) *expectedWork {
	p := req.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placement.enabled() {
		return nil
	}
	w := &req.work
	w.Work, w.id, w.predicted = p.placement.estimator.Estimate(now, req.workRequest()), req.ID, false
	w.objective = max(req.route.Objective-now.Sub(req.startedAt), 0)
	if req.route.Kind == route.Streaming {
		if req.Resuming {
			events += req.LastEventID
		}
		written := float64(events) * p.eventTokens()
		w.Write = max(w.Write-written, minRemainingShare*w.Write)
		w.Read += written
	}
	return w
}

// eventTokens returns the number of tokens in an event of the pool's streams; the caller holds mu.
func (p *pool) eventTokens() float64 {
	if p.model != nil && p.model.EventTokens > 0 {
		return float64(p.model.EventTokens)
	}
	return p.placement.eventSize.TokensPerEvent()
}

// chooseCandidate chooses one of the targets, by expected work if that is known; the caller holds mu.
func (p *pool) chooseCandidate(now time.Time, targets []engine.AvailableTarget, criteria targetCriteria) (policy.Candidate, bool) {
	w := criteria.work
	if w == nil || criteria.sendsNothing {
		// A copy takes memory only, of which slow engines, which have fewer requests, have as much as others.
		return p.enginePool.ChooseCandidate(now, targets, nil, nil)
	}
	predict := p.placement.predictor.For(now, w.Work, w.objective)
	c, ok := p.enginePool.ChoosePredicted(now, targets, nil, predict)
	if ok {
		w.predicted, w.prediction, w.slowness = true, predict(&c), poolPace{&p.placement}.Slowness(now, c.Name)
	}
	return c, ok
}

// beginWork records that a request is sent to a target; the caller holds mu.
func (p *pool) beginWork(now time.Time, t route.Target, criteria targetCriteria) {
	w := criteria.work
	if w == nil {
		return
	}
	if criteria.preferredTarget == t.ID {
		// The engine has a copy of what was read.
		w.Read = 0
	}
	w.alone = p.placement.backlog.At(now, t.ID).Streams == 0
	p.placement.backlog.Begin(now, t.ID, w.id, w.Work)
}

// releaseTarget takes back the choice of a target to which the request is not sent.
func (req *callerRequest) releaseTarget(now time.Time, t route.Target) {
	req.pool.releaseTarget(now, t)
	withLock(&req.pool.mu, func() { req.pool.placement.backlog.End(now, t.ID, req.work.id) })
}

// localCounts returns the requests of this instance that are in progress, with their remaining work if the pool places
// requests by that; the caller holds mu.
func (p *pool) localCounts(now time.Time) map[string]engine.RequestCounts {
	counts := p.enginePool.LocalCounts()
	if !p.placement.enabled() {
		return counts
	}
	for id, left := range p.placement.backlog.Local(now) {
		if c, ok := counts[id]; ok {
			work := left.Counts()
			c.Read, c.Write, c.Memory = work.Read, work.Write, work.Memory
			counts[id] = c
		}
	}
	return counts
}

// applyRemoteWork applies what another instance states of its requests in progress; the caller holds mu.
func (p *pool) applyRemoteWork(now time.Time, instance string, counts map[string]engine.RequestCounts) {
	if !p.placement.enabled() {
		return
	}
	left := make(map[string]workload.Remaining, len(counts))
	for id, c := range counts {
		if _, ok := p.placement.addresses[id]; ok {
			left[id] = workload.FromCounts(c)
		}
	}
	p.placement.backlog.SetRemote(now, instance, left)
}

// addPaces adds what the pool's targets have just stated about their machines; the caller holds mu.
func (p *pool) addPaces(now time.Time, paces map[string]gossip.PaceStatement) {
	if !p.placement.enabled() {
		return
	}
	local := p.placement.paces.LocalStatements(now)
	if len(local) == 0 {
		return
	}
	for i := range p.targets {
		t := &p.targets[i]
		if s, ok := local[t.Address]; ok && now.Sub(s.At) <= paceReportWindow {
			paces[t.ID] = gossip.PaceStatement{SlownessPercent: int(100*s.Slowness + 0.5), AgeMillis: now.Sub(s.At).Milliseconds()}
		}
	}
}

// applyPaces applies what targets have stated to another instance; the caller holds mu.
func (p *pool) applyPaces(now time.Time, paces map[string]gossip.PaceStatement) {
	for id, s := range paces {
		address, ok := p.placement.addresses[id]
		if !ok || s.AgeMillis < 0 || s.AgeMillis > maxPaceAge.Milliseconds() {
			continue
		}
		// A figure out of range says nothing about the target, since instances check what they pass on.
		_ = p.placement.paces.RecordStated(now, address, workload.Statement{Slowness: float64(s.SlownessPercent) / 100, At: millisBefore(now, s.AgeMillis)}, false)
	}
}
