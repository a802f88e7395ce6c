package version

import (
	"math"
	"time"
)

// Limits are the times and numbers by which changes step; the zero value is not usable.
type Limits struct {
	// ControlShare is the share that stays with the old version while it is kept warm, for comparison.
	ControlShare float64
	// KeepWarm is how long the old version is kept after the change is done.
	KeepWarm time.Duration
	// MinDwell and MaxDwell bound the time between two steps of the share.
	MinDwell time.Duration
	MaxDwell time.Duration
}

// DefaultLimits returns the limits that hold when nothing is set.
func DefaultLimits() Limits {
	return Limits{ControlShare: 0.02, KeepWarm: 10 * time.Minute, MinDwell: 500 * time.Millisecond, MaxDwell: 30 * time.Second}
}

const (
	// stepResults is the number of results of the new version that a step needs.
	stepResults = 10
	// fewResults is the number of successes without a failure of its own that completes a change at its deadline.
	fewResults = 20
	// suspicion is the wealth at which a change takes no further step, and calm that at which it goes on.
	suspicion = 20
	calm      = 3
	// suspectShare is the largest share of a version under suspicion once it had more than its trial share.
	suspectShare = 0.5
	// holdTime is how long a change waits after the last sign of harm.
	holdTime = 10 * time.Second
	// startPart of the largest share is the first step of a trial.
	startPart = 1.0 / 4
	// dwellPart of the time to the deadline passes between steps, so that the
	// ten or so steps to the whole share take less than half of it.
	dwellPart = 24
)

// Change decides the steps of one change; set its exported fields before the first Step.
type Change struct {
	Plan   Plan
	Limits Limits
	// Record is where the change stands. A new decider sets it to what it has read.
	Record Record

	evidence Evidence
	begun    bool
	at       uint32
	capacity float64
	held     bool
	heldAt   time.Time
}

// EventKind tells what a change is told.
type EventKind int

// The kinds of events.
const (
	// Ticked tells only that time has passed.
	Ticked EventKind = iota
	// Reported brings evidence.
	Reported
	// CapacityChanged tells which share the targets of the new version can take.
	CapacityChanged
	// MarkedBad tells that another instance found the version bad.
	MarkedBad
	// WarningChanged tells why the deadline will probably be missed, or nothing.
	WarningChanged
)

// Event is one thing that a change is told.
type Event struct {
	Kind     EventKind
	Report   Report
	Capacity float64
	Ordered  bool
	Loaded   []string
	Why      string
}

// Action is one step of a change, after which Record differs.
type Action struct {
	// Step names what happened: trial, share, moving, done, closed, rolled_back, held, warned, targets.
	Step string
	// Bad is set when the evidence of this decider says that the version is bad.
	Bad bool
}

// NewChange returns a change that has not begun.
func NewChange(now time.Time, p Plan, l Limits) *Change {
	return &Change{Plan: p, Limits: l, Record: Record{
		Format: RecordFormat, ID: p.ID, Entry: p.Entry, From: p.From, To: p.To, Revision: p.Revision,
		Deadline: p.Deadline, State: Waiting, Why: "no_target_yet", StateStart: now, LastStep: now, Wealth: 1,
	}}
}

// Step takes one event and returns the steps that it leads to.
func (c *Change) Step(now time.Time, ev Event) []Action {
	if c.Record.Finished() {
		return nil
	}
	c.begin(now)
	switch ev.Kind {
	case Reported:
		return c.report(ev.Report)
	case CapacityChanged:
		return c.able(ev)
	case MarkedBad:
		return c.rollBack(now, ev.Why, false)
	case WarningChanged:
		if c.Record.Warning == ev.Why {
			return nil
		}
		c.Record.Warning = ev.Why
		return []Action{{Step: "warned"}}
	case Ticked:
		return c.tick(now)
	}
	return nil
}

// EvaluateEvidence weighs the evidence without taking a step and tells whether the version is bad.
//
// A candidate that does not decide uses it, so that marks are made also while
// nobody can hold the decider's lease.
func (c *Change) EvaluateEvidence(now time.Time) (why string, bad bool) {
	if c.Record.Finished() || c.Record.State == Waiting {
		return "", false
	}
	c.begin(now)
	v := c.evidence.Evaluate(now)
	return "bad_" + v.Kind.String(), v.Wealth >= 1/Alpha
}

// ResumeFrom goes on from the record that another decider wrote; this decider's own evidence stays.
func (c *Change) ResumeFrom(r Record) {
	c.Record = r
	c.evidence.AcceptLogOdds, c.evidence.OwnFailures = r.AcceptLogOdds, r.OwnFailures
	c.at = r.New.Requests
	c.capacity = r.Share
}

// begin sets the duration of the test, whichever decider it is that begins.
func (c *Change) begin(now time.Time) {
	if c.begun {
		return
	}
	c.begun = true
	c.evidence.Starts = now
	c.evidence.Ends = maxTime(c.Plan.Deadline, now).Add(c.Limits.KeepWarm)
	c.evidence.AcceptLogOdds, c.evidence.OwnFailures = c.Record.AcceptLogOdds, c.Record.OwnFailures
	c.at = c.Record.New.Requests
	c.capacity = c.Record.Share
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Change) report(r Report) []Action {
	if r.ChangeID != c.Plan.ID || c.Record.TrialStart.IsZero() {
		return nil
	}
	c.evidence.Add(r)
	for _, row := range r.Routes {
		c.Record.Old.add(row.Old)
		c.Record.New.add(row.New)
	}
	return nil
}

func (c *Change) able(ev Event) []Action {
	c.capacity = ev.Capacity
	if ev.Ordered == c.Record.Ordered && equal(ev.Loaded, c.Record.Loaded) {
		return nil
	}
	c.Record.Ordered, c.Record.Loaded = ev.Ordered, ev.Loaded
	return []Action{{Step: "targets"}}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (c *Change) tick(now time.Time) []Action {
	r := &c.Record
	if r.State != Waiting {
		v := c.evidence.Evaluate(now)
		r.Wealth, r.Route, r.Kind = v.Wealth, v.Route, v.Kind.String()
		r.AcceptLogOdds, r.OwnFailures = c.evidence.AcceptLogOdds, c.evidence.OwnFailures+uint32(c.evidence.awaited[Failing].bad)
		if v.Wealth >= 1/Alpha {
			return c.rollBack(now, "bad_"+v.Kind.String(), true)
		}
		if a := c.hold(now); a != nil {
			return a
		}
	}
	switch r.State {
	case Waiting:
		return c.wait(now)
	case Trial:
		return c.try(now)
	case Moving:
		return c.move(now)
	case Done:
		if now.Sub(r.StateStart) >= c.Limits.KeepWarm {
			r.Share = 1
			return c.enter(now, Closed, "kept_warm_long_enough")
		}
		if top := c.top(); r.Share < top && now.Sub(r.LastStep) >= c.dwell() {
			return c.share(now, min(2*r.Share, top), "calm_again")
		}
	case Closed, RolledBack:
	}
	return nil
}

// hold stops steps while the evidence gives cause for suspicion, and gives an old
// version back half of the traffic, which makes both the harm and the wait for proof smaller.
func (c *Change) hold(now time.Time) []Action {
	r := &c.Record
	alarm := c.evidence.Alarm()
	if r.Wealth >= suspicion || alarm && r.State != Trial {
		c.heldAt = now
	}
	c.held = c.heldAt.Equal(now) || c.held && (r.Wealth >= calm || now.Sub(c.heldAt) < holdTime)
	if c.held && r.State != Trial && r.Share > suspectShare {
		return c.share(now, suspectShare, map[bool]string{true: "alarm", false: "suspicion"}[alarm])
	}
	if c.held && !c.due(now) {
		return []Action{}
	}
	return nil
}

func (c *Change) enter(now time.Time, s State, why string) []Action {
	c.Record.State, c.Record.StateStart, c.Record.LastStep, c.Record.Why = s, now, now, why
	c.at = c.Record.New.Requests
	return []Action{{Step: string(s)}}
}

func (c *Change) share(now time.Time, share float64, why string) []Action {
	c.Record.Share, c.Record.LastStep, c.Record.Why = share, now, why
	c.at = c.Record.New.Requests
	return []Action{{Step: "share"}}
}

func (c *Change) rollBack(now time.Time, why string, bad bool) []Action {
	c.Record.Share = 0
	a := c.enter(now, RolledBack, why)
	a[0].Bad = bad
	return a
}

// wait begins the trial as soon as a target can run the new version.
func (c *Change) wait(now time.Time) []Action {
	switch {
	case !now.Before(c.Plan.Deadline):
		return c.rollBack(now, "no_target_by_deadline", false)
	case c.capacity <= 0:
		return nil
	}
	c.Record.TrialStart = now
	c.Record.Share = min(c.Plan.LargestShare*startPart, c.capacity)
	c.evidence.Starts = now
	return c.enter(now, Trial, "target_ready")
}

func (c *Change) total() time.Duration { return c.Plan.Deadline.Sub(c.Record.TrialStart) }

func (c *Change) dwell() time.Duration {
	return min(max(c.total()/dwellPart, c.Limits.MinDwell), c.Limits.MaxDwell)
}

// due reports whether the deadline is so near that the change has to end one way or the other.
func (c *Change) due(now time.Time) bool {
	margin := min(c.dwell(), c.total()/8)
	return (c.Record.State == Trial || c.Record.State == Moving) && !now.Before(c.Plan.Deadline.Add(-margin))
}

// top is the largest share that the new version may have by now.
func (c *Change) top() float64 { return min(1-c.Limits.ControlShare, max(c.capacity, 0)) }

func (c *Change) try(now time.Time) []Action {
	r := &c.Record
	waited := now.Sub(r.LastStep)
	limit := min(c.Plan.LargestShare, c.capacity)
	switch {
	case c.due(now):
		return c.end(now)
	case waited < c.dwell():
		return nil
	case c.suffices(acceptError) && !c.evidence.Alarm():
		c.enter(now, Moving, "evidence_suffices")
		r.Share = max(r.Share, min(2*r.Share, c.top()))
		return []Action{{Step: string(Moving)}}
	case r.Share < limit && (r.New.Requests-c.at >= stepResults || waited >= c.total()/16):
		return c.share(now, min(2*r.Share, limit), "no_sign_of_harm")
	}
	return c.foresee(now)
}

// foresee warns when the results by the deadline will be too few.
func (c *Change) foresee(now time.Time) []Action {
	r := &c.Record
	passed := now.Sub(r.TrialStart)
	if passed < c.total()/4 || r.Warning != "" {
		return nil
	}
	if expected := float64(r.New.Requests) * float64(c.total()) / float64(passed); expected < fewResults {
		r.Warning = "too_little_traffic_by_deadline"
		return []Action{{Step: "warned"}}
	}
	return nil
}

func (c *Change) move(now time.Time) []Action {
	r := &c.Record
	top := c.top()
	switch {
	case c.due(now):
		return c.end(now)
	case now.Sub(r.LastStep) < c.dwell():
		return nil
	case r.Share >= 1-c.Limits.ControlShare:
		return c.enter(now, Done, "moved")
	case r.Share < top && r.New.Requests-c.at >= stepResults:
		return c.share(now, min(2*r.Share, top), "no_sign_of_harm")
	}
	return nil
}

// end completes the change at its deadline or rolls it back: a change never outlives its deadline undecided.
//
// Only the sequential test says that a version is bad. What else rolls a change back here is
// a want of evidence, and the reason says so.
func (c *Change) end(now time.Time) []Action {
	r := &c.Record
	switch {
	case c.top() < 1-c.Limits.ControlShare:
		return c.rollBack(now, "too_few_targets_by_deadline", false)
	case r.Wealth >= suspicion || r.Wealth >= calm && c.evidence.Alarm():
		return c.rollBack(now, "signs_of_harm_by_deadline", false)
	case r.State == Moving || c.suffices(deadlineError):
		r.Share = c.top()
		return c.enter(now, Done, "evidence_suffices")
	case c.few():
		r.Share = c.top()
		return c.enter(now, Done, "few_results_without_failure")
	}
	return c.rollBack(now, "too_little_evidence_by_deadline", false)
}

// few reports whether results that are too few for the test of acceptance suffice at the
// deadline: successes enough, no failure of the version's own, and no lean towards slowness.
//
// More failures in more results were weighed: at 20 requests/s it rolled back fewer good versions
// for want of evidence, but completed 0.76 instead of 0.15 of those that fail on one route of four.
func (c *Change) few() bool {
	r := &c.Record
	return r.New.Requests-r.New.Failed >= fewResults && r.OwnFailures == 0 &&
		r.AcceptLogOdds[SlowFirstToken] >= 0 && r.AcceptLogOdds[SlowTokenInterval] >= 0
}

// suffices reports whether the new version is accepted in every way in which it was tested.
func (c *Change) suffices(chance float64) bool {
	bound := math.Log(1 / chance)
	for k := range kinds {
		all, _ := c.Record.New.of(k)
		if k == Failing && all == 0 || all > 0 && c.Record.AcceptLogOdds[k] < bound {
			return false
		}
	}
	return true
}
