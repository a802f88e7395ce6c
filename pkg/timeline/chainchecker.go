package timeline

import "strings"

// ChainSummary summarises the lines of one incarnation.
type ChainSummary struct {
	Source
	Lines uint64 `json:"lines"`
	// Closed is set if the last line is log_closed.
	Closed bool `json:"closed"`
	// Head is the hash of the last line; a copy kept elsewhere shows later whether the log was rewritten.
	Head string `json:"head"`
}

// ChainChecker checks the sequence numbers and hashes of records, which must be sorted by CompareSource.
type ChainChecker struct {
	// OnFinding is called for each finding.
	OnFinding func(Finding)
	// OnChainEnd, if set, is called at the end of each incarnation.
	OnChainEnd func(ChainSummary)

	previous *Record
	lines    uint64
}

var zeroHash = strings.Repeat("0", 2*hashBytes)

// Check checks one record.
func (c *ChainChecker) Check(r *Record) {
	if c.previous != nil && c.previous.Source() != r.Source() {
		c.Finish()
	}
	c.lines++
	if !r.HashMatches() {
		c.OnFinding(r.newFinding(LineAltered))
	}
	c.checkSuccession(r)
	if r.Kind == LinesDropped {
		f := r.newFinding(EventsDropped)
		f.Count = r.InputValue("lines")
		c.OnFinding(f)
	}
	c.previous = r
}

// checkSuccession checks a record against the previous one of its incarnation.
func (c *ChainChecker) checkSuccession(r *Record) {
	previousHash, sequence := zeroHash, uint64(0)
	if l := c.previous; l != nil {
		previousHash, sequence = l.Hash, l.Sequence
		if l.Kind == LogClosed {
			c.OnFinding(r.newFinding(AfterClose))
		}
		if l.FileIndex == r.FileIndex && l.Line > r.Line {
			c.OnFinding(r.newFinding(OutOfOrder))
		}
	}
	switch {
	case r.Sequence == sequence:
		c.OnFinding(r.newFinding(SequenceTwice))
	case r.Sequence > sequence+1:
		f := r.newFinding(LinesMissing)
		f.From, f.To = sequence+1, r.Sequence-1
		c.OnFinding(f)
	case r.Previous != previousHash:
		c.OnFinding(r.newFinding(ChainBroken))
	}
}

// Finish ends the check of the last incarnation.
func (c *ChainChecker) Finish() {
	l := c.previous
	if l == nil {
		return
	}
	closed := l.Kind == LogClosed
	if !closed {
		c.OnFinding(l.newFinding(NoGracefulEnd))
	}
	if c.OnChainEnd != nil {
		c.OnChainEnd(ChainSummary{Source: l.Source(), Lines: c.lines, Closed: closed, Head: l.Hash})
	}
	c.previous, c.lines = nil, 0
}
