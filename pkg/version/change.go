package version

import (
	"cmp"
	"time"
)

// Limits are the durations and shares that control the steps of a change; the zero value is not usable.
type Limits struct {
	// ControlShare is the share that stays with the old version while it is kept warm, for comparison.
	ControlShare float64
	// KeepWarm is how long the old version is kept after the change is done.
	KeepWarm time.Duration
	// MinDwell and MaxDwell bound the time between two steps of the share.
	MinDwell time.Duration
	MaxDwell time.Duration
	// ExtraFailures is the rate of additional failures that the acceptance test excludes; a larger one needs
	// fewer results. 0 means 0.05.
	ExtraFailures float64
	// HoldAfterHarm is how long a change takes no further step after the last sign of harm; 0 means 10 s.
	HoldAfterHarm time.Duration
	// TrialUntilDeadline is set if a change stays in its trial until its deadline, at which it is decided without
	// growing in between: the requests that a version gets before then are bounded by the largest share.
	TrialUntilDeadline bool
	// DeadlineHarmRate is the probability that all results of a good version together are taken for harm when the change is
	// decided; 0 means that only the sequential test judges them.
	DeadlineHarmRate float64
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{ControlShare: 0.02, KeepWarm: 10 * time.Minute, MinDwell: 500 * time.Millisecond, MaxDwell: 30 * time.Second}
}

const (
	// minStepResults is the number of results of the new version that a step of the share needs.
	minStepResults = 10
	// minDeadlineResults is the number of successes that complete a change at its deadline if the new version
	// has no failure of its own.
	minDeadlineResults = 20
	// suspicionWealth is the wealth from which a change takes no further step; below calmWealth it resumes.
	suspicionWealth = 20
	calmWealth      = 3
	// maxSuspectShare is the largest share of a version under suspicion once its trial is over.
	maxSuspectShare = 0.5
	// holdAfterHarm is the default of Limits.HoldAfterHarm.
	holdAfterHarm = 10 * time.Second
	// minFinalLogOdds is the least log odds with which a version gets all requests at the deadline, before its results
	// of that time are judged.
	minFinalLogOdds = -1
	// firstTrialPart is the part of the largest share with which a trial begins.
	firstTrialPart = 1.0 / 4
	// shareTolerance is the factor by which the share of a trial may differ from its limit before it is changed.
	shareTolerance = 1.1
	// dwellDivisor divides the time from the start of the trial to the deadline into the times between
	// steps, so that the ten or so steps to the full share take less than half of it.
	dwellDivisor = 24
)

// Change decides the steps of one change; set its exported fields before the first Step.
type Change struct {
	Plan   Plan
	Limits Limits
	// Record is the state of the change. A new decider sets it to what it has read.
	Record Record
	// CloseAfter is the time before which a change is not closed, or the zero time.
	CloseAfter time.Time

	evidence    Evidence
	testStarted bool
	// requestsAtStep is the number of requests to the new version at the last step.
	requestsAtStep uint32
	// capacity is the share that the targets of the new version can take.
	capacity float64
	// held is set while the change takes no further step, because of a sign of harm last seen at lastHarm.
	held     bool
	lastHarm time.Time
	// finalFrom are the results of the new version from before it got all requests.
	finalFrom Counts
}

// EventKind is the kind of an event that a change handles.
type EventKind int

// The kinds of events.
const (
	// Ticked events only report that time has passed.
	Ticked EventKind = iota
	// Reported events have new evidence in Report.
	Reported
	// CapacityChanged events have, in Capacity, the share that the targets of the new version can take,
	// and the state of loading in Ordered and Loaded.
	CapacityChanged
	// MarkedBad events report that another instance found the version bad, with its reason in Why.
	MarkedBad
	// WarningChanged events have, in Why, the reason why the deadline will probably be missed, or nothing.
	WarningChanged
)

// Event is an input of a change; which fields are set depends on its kind.
type Event struct {
	Kind     EventKind
	Report   Report
	Capacity float64
	Ordered  bool
	Loaded   []string
	Why      string
}

// Action is one step that a change has taken, with which its Record has changed.
type Action struct {
	// Step is what happened: trial, share, moving, done, closed, rolled_back, held, warned or targets.
	Step string
	// Bad is set if the evidence of this decider shows that the version is bad.
	Bad bool
}

// NewChange returns a change in state Waiting.
func NewChange(now time.Time, p Plan, l Limits) *Change {
	return &Change{Plan: p, Limits: l, Record: Record{
		Format: RecordFormat, ID: p.ID, Entry: p.Entry, From: p.From, To: p.To, Revision: p.Revision,
		Deadline: p.Deadline, State: Waiting, Why: "no_target_yet", StateStart: now, LastStep: now, Wealth: 1,
	}}
}

// Step handles one event and returns the steps taken because of it.
func (c *Change) Step(now time.Time, ev Event) []Action {
	if c.Record.Finished() {
		return nil
	}
	c.startTest(now)
	switch ev.Kind {
	case Reported:
		return c.addReport(ev.Report)
	case CapacityChanged:
		return c.updateCapacity(ev)
	case MarkedBad:
		return c.rollBack(now, ev.Why, false)
	case WarningChanged:
		if c.Record.Warning == ev.Why {
			return nil
		}
		c.Record.Warning = ev.Why
		return []Action{{Step: "warned"}}
	case Ticked:
		return c.handleTick(now)
	}
	return nil
}

// EvaluateEvidence evaluates the evidence without taking a step and reports whether the version is bad.
//
// A candidate that is not the decider calls it, so that a bad version is marked even while
// no instance can hold the decider's lease.
func (c *Change) EvaluateEvidence(now time.Time) (why string, bad bool) {
	if c.Record.Finished() || c.Record.State == Waiting {
		return "", false
	}
	c.startTest(now)
	verdict := c.evidence.Evaluate(now)
	return "bad_" + verdict.Kind.String(), verdict.Wealth >= 1/Alpha
}

// ResumeFrom continues from the record that another decider wrote; this decider keeps its own evidence.
func (c *Change) ResumeFrom(record Record) {
	c.Record = record
	c.evidence.AcceptLogOdds, c.evidence.OwnFailures = record.AcceptLogOdds, record.OwnFailures
	c.requestsAtStep = record.New.Requests
	c.capacity = record.Share
}

// Adopt continues with the steps that another decider recorded, and keeps this instance's own results.
func (c *Change) Adopt(record Record) {
	stepped := !record.LastStep.Equal(c.Record.LastStep)
	own := c.Record
	record.Old, record.New, record.AcceptLogOdds, record.OwnFailures = own.Old, own.New, own.AcceptLogOdds, own.OwnFailures
	c.Record = record
	if stepped {
		c.requestsAtStep = own.New.Requests
	}
	c.capacity = record.Share
}

// startTest sets the duration of this decider's test at the first call, and continues from the record.
func (c *Change) startTest(now time.Time) {
	if c.testStarted {
		return
	}
	c.testStarted = true
	c.evidence.Starts, c.evidence.ExtraFailures = now, c.Limits.ExtraFailures
	c.evidence.Ends = laterOf(c.Plan.Deadline, now).Add(c.Limits.KeepWarm)
	c.evidence.AcceptLogOdds, c.evidence.OwnFailures = c.Record.AcceptLogOdds, c.Record.OwnFailures
	c.requestsAtStep = c.Record.New.Requests
	c.capacity = c.Record.Share
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *Change) addReport(report Report) []Action {
	if report.ChangeID != c.Plan.ID || c.Record.TrialStart.IsZero() {
		return nil
	}
	c.evidence.Add(report)
	for _, route := range report.Routes {
		c.Record.Old.add(route.Old)
		c.Record.New.add(route.New)
	}
	return nil
}

func (c *Change) updateCapacity(ev Event) []Action {
	c.capacity = ev.Capacity
	if ev.Ordered == c.Record.Ordered && equalStrings(ev.Loaded, c.Record.Loaded) {
		return nil
	}
	c.Record.Ordered, c.Record.Loaded = ev.Ordered, ev.Loaded
	return []Action{{Step: "targets"}}
}

func equalStrings(a, b []string) bool {
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

func (c *Change) handleTick(now time.Time) []Action {
	record := &c.Record
	if record.State != Waiting {
		verdict := c.evidence.Evaluate(now)
		record.Wealth, record.Route, record.Kind = verdict.Wealth, verdict.Route, verdict.Kind.String()
		record.AcceptLogOdds, record.OwnFailures = c.evidence.AcceptLogOdds, c.evidence.OwnFailures+uint32(c.evidence.pendingWindows[Failing].bad)
		if verdict.Wealth >= 1/Alpha {
			return c.rollBack(now, "bad_"+verdict.Kind.String(), true)
		}
		if actions := c.holdOnHarm(now); actions != nil {
			return actions
		}
	}
	switch record.State {
	case Waiting:
		return c.stepWaiting(now)
	case Trial:
		return c.stepTrial(now)
	case Moving:
		return c.stepMoving(now)
	case Done:
		if c.Limits.TrialUntilDeadline {
			return c.stepFinal(now)
		}
		if now.Sub(record.StateStart) >= c.Limits.KeepWarm {
			record.Share = 1
			return c.enterState(now, Closed, "kept_warm_long_enough")
		}
		if maxShare := c.maxShare(); record.Share < maxShare && now.Sub(record.LastStep) >= c.dwell() {
			return c.setShare(now, min(2*record.Share, maxShare), "calm_again")
		}
	case Closed, RolledBack:
	}
	return nil
}

// holdOnHarm prevents steps while the evidence is suspicious, and returns half of the traffic to the
// old version, which reduces both the harm and the time to proof.
func (c *Change) holdOnHarm(now time.Time) []Action {
	record := &c.Record
	alarm := c.evidence.Alarm()
	if record.Wealth >= suspicionWealth || alarm && record.State != Trial && !c.Limits.TrialUntilDeadline {
		c.lastHarm = now
	}
	c.held = c.lastHarm.Equal(now) || c.held && (record.Wealth >= calmWealth || now.Sub(c.lastHarm) < cmp.Or(c.Limits.HoldAfterHarm, holdAfterHarm))
	if c.held && record.State != Trial && record.Share > maxSuspectShare {
		return c.setShare(now, maxSuspectShare, map[bool]string{true: "alarm", false: "suspicion"}[alarm])
	}
	if c.held && !c.nearDeadline(now) && !(c.Limits.TrialUntilDeadline && record.State == Done) {
		return []Action{}
	}
	return nil
}

func (c *Change) enterState(now time.Time, s State, why string) []Action {
	c.Record.State, c.Record.StateStart, c.Record.LastStep, c.Record.Why = s, now, now, why
	c.requestsAtStep = c.Record.New.Requests
	return []Action{{Step: string(s)}}
}

func (c *Change) setShare(now time.Time, share float64, why string) []Action {
	c.Record.Share, c.Record.LastStep, c.Record.Why = share, now, why
	c.requestsAtStep = c.Record.New.Requests
	return []Action{{Step: "share"}}
}

func (c *Change) rollBack(now time.Time, why string, bad bool) []Action {
	c.Record.Share = 0
	actions := c.enterState(now, RolledBack, why)
	actions[0].Bad = bad
	return actions
}

// stepWaiting starts the trial as soon as a target can run the new version.
func (c *Change) stepWaiting(now time.Time) []Action {
	switch {
	case !now.Before(c.Plan.Deadline):
		return c.rollBack(now, "no_target_by_deadline", false)
	case c.capacity <= 0:
		return nil
	}
	c.Record.TrialStart = now
	c.Record.Share = min(c.Plan.LargestShare*firstTrialPart, c.capacity)
	c.evidence.Starts = now
	return c.enterState(now, Trial, "target_ready")
}

func (c *Change) trialDuration() time.Duration { return c.Plan.Deadline.Sub(c.Record.TrialStart) }

// dwell returns the least time between two steps of the share.
func (c *Change) dwell() time.Duration {
	return min(max(c.trialDuration()/dwellDivisor, c.Limits.MinDwell), c.Limits.MaxDwell)
}

// nearDeadline reports whether the deadline is so near that the change has to be completed or rolled back.
func (c *Change) nearDeadline(now time.Time) bool {
	margin := min(c.dwell(), c.trialDuration()/8)
	if c.Limits.TrialUntilDeadline {
		margin = 0
	}
	return (c.Record.State == Trial || c.Record.State == Moving) && !now.Before(c.Plan.Deadline.Add(-margin))
}

// maxShare returns the largest share that the new version may have after its trial, at the present capacity.
func (c *Change) maxShare() float64 { return min(1-c.Limits.ControlShare, max(c.capacity, 0)) }

func (c *Change) stepTrial(now time.Time) []Action {
	record := &c.Record
	waited := now.Sub(record.LastStep)
	trialLimit := min(c.Plan.LargestShare, c.capacity)
	switch {
	case c.nearDeadline(now):
		return c.decideAtDeadline(now)
	case waited < c.dwell():
		return nil
	case record.Share > trialLimit*shareTolerance:
		return c.setShare(now, trialLimit, "limit_fell")
	case c.Limits.TrialUntilDeadline && (record.Share*shareTolerance >= trialLimit || trialLimit <= 0):
		return c.warnOfLittleTraffic(now)
	case !c.Limits.TrialUntilDeadline && c.isAccepted(falseAcceptRate) && !c.evidence.Alarm():
		c.enterState(now, Moving, "evidence_suffices")
		record.Share = max(record.Share, min(2*record.Share, c.maxShare()))
		return []Action{{Step: string(Moving)}}
	case record.Share < trialLimit && (record.New.Requests-c.requestsAtStep >= minStepResults || waited >= c.trialDuration()/16):
		return c.setShare(now, min(max(2*record.Share, trialLimit*firstTrialPart), trialLimit), "no_sign_of_harm")
	}
	return c.warnOfLittleTraffic(now)
}

// warnOfLittleTraffic sets a warning if there will probably be too few results by the deadline.
func (c *Change) warnOfLittleTraffic(now time.Time) []Action {
	record := &c.Record
	passed := now.Sub(record.TrialStart)
	if passed < c.trialDuration()/4 || record.Warning != "" {
		return nil
	}
	if expected := float64(record.New.Requests) * float64(c.trialDuration()) / float64(passed); expected < minDeadlineResults {
		record.Warning = "too_little_traffic_by_deadline"
		return []Action{{Step: "warned"}}
	}
	return nil
}

func (c *Change) stepMoving(now time.Time) []Action {
	record := &c.Record
	maxShare := c.maxShare()
	switch {
	case c.nearDeadline(now):
		return c.decideAtDeadline(now)
	case now.Sub(record.LastStep) < c.dwell():
		return nil
	case record.Share >= 1-c.Limits.ControlShare:
		return c.enterState(now, Done, "moved")
	case record.Share < maxShare && record.New.Requests-c.requestsAtStep >= minStepResults:
		return c.setShare(now, min(2*record.Share, maxShare), "no_sign_of_harm")
	}
	return nil
}
