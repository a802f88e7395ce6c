package command

import (
	"encoding/json"
	"fmt"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// logCheck checks a set of logs in two orders, each with half of the memory.
type logCheck struct {
	query    *timelineQuery
	bySource eventlog.Sorter
	byID     eventlog.Sorter
	found    int
	lines    uint64
	chains   []timeline.ChainSummary
}

// verify checks that the logs are whole and returns exit status 1 if not.
func (q *timelineQuery) verify() error {
	c := &logCheck{
		query:    q,
		bySource: eventlog.Sorter{Compare: timeline.CompareSource, MemoryLimit: q.memory / 2},
		byID:     eventlog.Sorter{Compare: timeline.CompareRequest, MemoryLimit: q.memory / 2},
	}
	defer func() { _, _ = c.bySource.Close(), c.byID.Close() }()
	damaged := func(d eventlog.Damage) {
		c.report(timeline.Finding{Kind: timeline.DamagedLine, File: d.File, Line: d.Line, Why: d.Reason})
	}
	if err := q.each(damaged, c.add); err != nil {
		return err
	}
	outcomes, err := c.run()
	if err != nil {
		return err
	}
	c.summary(outcomes)
	if c.found > 0 {
		return &exitError{exitFailed}
	}
	return nil
}

func (c *logCheck) add(r *timeline.Record) error {
	if err := c.bySource.Add(r); err != nil || r.Request == "" {
		return err
	}
	return c.byID.Add(r)
}

func (c *logCheck) run() (*timeline.OutcomeChecker, error) {
	cut := map[timeline.Source]bool{}
	chains := timeline.ChainChecker{OnFinding: c.report, OnChainEnd: func(done timeline.ChainSummary) {
		c.lines += done.Lines
		c.chains = append(c.chains, done)
		if !done.Closed {
			cut[done.Source] = true
		}
	}}
	if err := c.bySource.ForEach(func(r *timeline.Record) error { chains.Check(r); return nil }); err != nil {
		return nil, err
	}
	chains.Finish()
	outcomes := &timeline.OutcomeChecker{OnFinding: c.report, Ungraceful: cut}
	if err := c.byID.ForEach(func(r *timeline.Record) error { outcomes.Check(r); return nil }); err != nil {
		return nil, err
	}
	outcomes.Finish()
	return outcomes, nil
}

func (c *logCheck) report(f timeline.Finding) {
	c.found++
	if f.File == "" && f.Line > 0 {
		f.File = c.query.files[f.FileIndex]
	}
	if c.query.json {
		_ = json.NewEncoder(c.query.env.Stdout).Encode(f)
		return
	}
	fmt.Fprintln(c.query.env.Stdout, f.Sentence())
}

// checkSummary is the last line of a check in JSON.
type checkSummary struct {
	Findings   int                     `json:"findings"`
	Lines      uint64                  `json:"lines"`
	Copies     int                     `json:"copies"`
	Requests   int                     `json:"requests"`
	Suppressed int                     `json:"suppressed"`
	Chains     []timeline.ChainSummary `json:"chains"`
}

func (c *logCheck) summary(o *timeline.OutcomeChecker) {
	out := c.query.env.Stdout
	if c.query.json {
		_ = json.NewEncoder(out).Encode(checkSummary{c.found, c.lines, c.bySource.Duplicates, o.Requests, o.Suppressed, c.chains})
		return
	}
	for _, ch := range c.chains {
		end := "closed in order"
		if !ch.Closed {
			end = "not closed"
		}
		fmt.Fprintf(out, "%s: %d lines, %s, last hash %s.\n", timeline.ReplaceControlChars(fmt.Sprintf("%s (incarnation %d)", ch.Instance, ch.Incarnation)), ch.Lines, end, timeline.ReplaceControlChars(ch.Head))
	}
	verdict := "The logs are whole."
	if c.found > 0 {
		verdict = fmt.Sprintf("The logs are not whole: %d findings.", c.found)
	}
	fmt.Fprintf(out, "%d lines of %d incarnations, %d requests, %d events left out by the bound on a request's lines. %s\n", c.lines, len(c.chains), o.Requests, o.Suppressed, verdict)
}
