package timeline

import "strings"

// ChainSummary summarises the lines of one incarnation.
type ChainSummary struct {
	Source
	Lines uint64 `json:"lines"`
	// Closed tells that it ended with log_closed.
	Closed bool `json:"closed"`
	// Head is the hash of its last line; kept elsewhere, it shows later whether the log was rewritten.
	Head string `json:"head"`
}

// ChainChecker checks the sequence numbers and hashes of records that come in the order of BySource.
type ChainChecker struct {
	// OnFinding is called for each finding.
	OnFinding func(Finding)
	// OnChainEnd, if set, is called at the end of each incarnation.
	OnChainEnd func(ChainSummary)

	last  *Record
	lines uint64
}

var noHash = strings.Repeat("0", 2*sumBytes)

// Check checks one record.
func (c *ChainChecker) Check(r *Record) {
	if c.last != nil && c.last.Source() != r.Source() {
		c.Finish()
	}
	c.lines++
	if !r.HashMatches() {
		c.OnFinding(r.finding(LineAltered))
	}
	c.follow(r)
	if r.Kind == LinesDropped {
		f := r.finding(EventsDropped)
		f.Count = r.InputValue("lines")
		c.OnFinding(f)
	}
	c.last = r
}

// follow checks a record against the one before.
func (c *ChainChecker) follow(r *Record) {
	before, sequence := noHash, uint64(0)
	if l := c.last; l != nil {
		before, sequence = l.Hash, l.Sequence
		if l.Kind == LogClosed {
			c.OnFinding(r.finding(AfterClose))
		}
		if l.FileIndex == r.FileIndex && l.Line > r.Line {
			c.OnFinding(r.finding(OutOfOrder))
		}
	}
	switch {
	case r.Sequence == sequence:
		c.OnFinding(r.finding(SequenceTwice))
	case r.Sequence > sequence+1:
		f := r.finding(LinesMissing)
		f.From, f.To = sequence+1, r.Sequence-1
		c.OnFinding(f)
	case r.Previous != before:
		c.OnFinding(r.finding(ChainBroken))
	}
}

// Finish finishes the incarnation that was read last.
func (c *ChainChecker) Finish() {
	l := c.last
	if l == nil {
		return
	}
	closed := l.Kind == LogClosed
	if !closed {
		c.OnFinding(l.finding(NoGracefulEnd))
	}
	if c.OnChainEnd != nil {
		c.OnChainEnd(ChainSummary{Source: l.Source(), Lines: c.lines, Closed: closed, Head: l.Hash})
	}
	c.last, c.lines = nil, 0
}
