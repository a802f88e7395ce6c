package timeline

import (
	"maps"
	"slices"
)

// OutcomeChecker checks that requests and attempts have ends; records must be sorted by CompareRequest.
type OutcomeChecker struct {
	// OnFinding is called for each finding.
	OnFinding func(Finding)
	// Ungraceful holds the incarnations without a graceful end, which may explain what is missing.
	Ungraceful map[Source]bool
	// Requests counts the requests, and Suppressed their events over the limit.
	Requests   int
	Suppressed int

	first         *Record
	terminal      *Record
	terminalCount int64
	suppressed    int
	openAttempts  map[attemptKey]*Record
}

type attemptKey struct {
	Source
	attempt int
}

// Check checks one record.
func (o *OutcomeChecker) Check(r *Record) {
	if r.Request == "" {
		return
	}
	if o.first != nil && o.first.Request != r.Request {
		o.Finish()
	}
	if o.first == nil {
		o.first, o.openAttempts = r, map[attemptKey]*Record{}
		o.Requests++
	}
	if r.Outcome != "" {
		o.terminal = r
		o.terminalCount++
	}
	o.suppressed += r.Suppressed
	key := attemptKey{r.Source(), r.Attempt}
	switch r.Kind {
	case AttemptBegun:
		if r.Target != "" {
			o.openAttempts[key] = r
		}
	case AttemptEnded, AttemptLost:
		delete(o.openAttempts, key)
	case EventsSuppressed:
		o.suppressed += int(r.InputValue("events"))
	}
}

// Finish ends the check of the last request.
func (o *OutcomeChecker) Finish() {
	if o.first == nil {
		return
	}
	switch {
	case o.terminalCount == 0:
		o.reportFinding(NoOutcome, o.first)
	case o.terminalCount > 1:
		o.reportFinding(OutcomeTwice, o.terminal)
	}
	for _, r := range slices.SortedFunc(maps.Values(o.openAttempts), func(a, b *Record) int { return CompareCausal(a, b) }) {
		o.reportFinding(AttemptOpen, r)
	}
	o.Suppressed += o.suppressed
	o.first, o.terminal, o.terminalCount, o.suppressed, o.openAttempts = nil, nil, 0, 0, nil
}

func (o *OutcomeChecker) reportFinding(kind string, r *Record) {
	f := r.newFinding(kind)
	f.Request, f.Attempt = r.Request, 0
	if kind == AttemptOpen {
		f.Attempt, f.Target = r.Attempt, r.Target
	}
	if kind == OutcomeTwice {
		f.Count = o.terminalCount
	}
	if o.Ungraceful[r.Source()] && kind != OutcomeTwice {
		f.Why = NoGracefulEnd
	}
	o.OnFinding(f)
}
