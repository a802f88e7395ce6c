package timeline

import (
	"maps"
	"slices"
)

// OutcomeChecker checks that requests and attempts have ends; records come in the order of ByRequest.
type OutcomeChecker struct {
	// OnFinding is called for each finding.
	OnFinding func(Finding)
	// Ungraceful holds the incarnations without a graceful end, which may explain what is missing.
	Ungraceful map[Source]bool
	// Requests counts the requests seen, and Suppressed their events over the bound.
	Requests   int
	Suppressed int

	first      *Record
	terminal   *Record
	terminals  int64
	suppressed int
	open       map[attemptKey]*Record
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
		o.first, o.open = r, map[attemptKey]*Record{}
		o.Requests++
	}
	if r.Outcome != "" {
		o.terminal = r
		o.terminals++
	}
	o.suppressed += r.Suppressed
	key := attemptKey{r.Source(), r.Attempt}
	switch r.Kind {
	case AttemptBegun:
		if r.Target != "" {
			o.open[key] = r
		}
	case AttemptEnded, AttemptLost:
		delete(o.open, key)
	case EventsSuppressed:
		o.suppressed += int(r.InputValue("events"))
	}
}

// Finish finishes the request that was read last.
func (o *OutcomeChecker) Finish() {
	if o.first == nil {
		return
	}
	switch {
	case o.terminals == 0:
		o.report(NoOutcome, o.first)
	case o.terminals > 1:
		o.report(OutcomeTwice, o.terminal)
	}
	for _, r := range slices.SortedFunc(maps.Values(o.open), func(a, b *Record) int { return CompareCausal(a, b) }) {
		o.report(AttemptOpen, r)
	}
	o.Suppressed += o.suppressed
	o.first, o.terminal, o.terminals, o.suppressed, o.open = nil, nil, 0, 0, nil
}

func (o *OutcomeChecker) report(kind string, r *Record) {
	f := r.finding(kind)
	f.Request, f.Attempt = r.Request, 0
	if kind == AttemptOpen {
		f.Attempt, f.Target = r.Attempt, r.Target
	}
	if kind == OutcomeTwice {
		f.Count = o.terminals
	}
	if o.Ungraceful[r.Source()] && kind != OutcomeTwice {
		f.Why = NoGracefulEnd
	}
	o.OnFinding(f)
}
