package command

import (
	"encoding/json"
	"fmt"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// logVerifier checks a set of logs in two orders, by source and by request, each with half of the memory limit.
type logVerifier struct {
	query          *timelineQuery
	bySource       eventlog.Sorter
	byRequest      eventlog.Sorter
	findings       int
	lines          uint64
	chainSummaries []timeline.ChainSummary
}

// verify checks that the logs are complete and returns an error with exit status 1 if they are not.
func (q *timelineQuery) verify() error {
	c := &logVerifier{
		query:     q,
		bySource:  eventlog.Sorter{Compare: timeline.CompareSource, MemoryLimit: q.memoryLimit / 2},
		byRequest: eventlog.Sorter{Compare: timeline.CompareRequest, MemoryLimit: q.memoryLimit / 2},
	}
	defer func() { _, _ = c.bySource.Close(), c.byRequest.Close() }()
	onDamage := func(d eventlog.Damage) {
		c.reportFinding(timeline.Finding{Kind: timeline.DamagedLine, File: d.File, Line: d.Line, Why: d.Reason})
	}
	if err := q.forEachRecord(onDamage, c.addRecord); err != nil {
		return err
	}
	outcomes, err := c.checkSortedRecords()
	if err != nil {
		return err
	}
	c.printSummary(outcomes)
	if c.findings > 0 {
		return &exitError{exitFailed}
	}
	return nil
}

func (c *logVerifier) addRecord(r *timeline.Record) error {
	if err := c.bySource.Add(r); err != nil || r.Request == "" {
		return err
	}
	return c.byRequest.Add(r)
}

func (c *logVerifier) checkSortedRecords() (*timeline.OutcomeChecker, error) {
	ungraceful := map[timeline.Source]bool{}
	chainChecker := timeline.ChainChecker{OnFinding: c.reportFinding, OnChainEnd: func(chain timeline.ChainSummary) {
		c.lines += chain.Lines
		c.chainSummaries = append(c.chainSummaries, chain)
		if !chain.Closed {
			ungraceful[chain.Source] = true
		}
	}}
	if err := c.bySource.ForEach(func(r *timeline.Record) error { chainChecker.Check(r); return nil }); err != nil {
		return nil, err
	}
	chainChecker.Finish()
	outcomeChecker := &timeline.OutcomeChecker{OnFinding: c.reportFinding, Ungraceful: ungraceful}
	if err := c.byRequest.ForEach(func(r *timeline.Record) error { outcomeChecker.Check(r); return nil }); err != nil {
		return nil, err
	}
	outcomeChecker.Finish()
	return outcomeChecker, nil
}

func (c *logVerifier) reportFinding(f timeline.Finding) {
	c.findings++
	if f.File == "" && f.Line > 0 {
		f.File = c.query.files[f.FileIndex]
	}
	if c.query.json {
		_ = json.NewEncoder(c.query.env.Stdout).Encode(f)
		return
	}
	fmt.Fprintln(c.query.env.Stdout, f.Sentence())
}

// checkSummary is the last line of the JSON output of -verify.
type checkSummary struct {
	Findings   int                     `json:"findings"`
	Lines      uint64                  `json:"lines"`
	Copies     int                     `json:"copies"`
	Requests   int                     `json:"requests"`
	Suppressed int                     `json:"suppressed"`
	Chains     []timeline.ChainSummary `json:"chains"`
}

func (c *logVerifier) printSummary(o *timeline.OutcomeChecker) {
	out := c.query.env.Stdout
	if c.query.json {
		_ = json.NewEncoder(out).Encode(checkSummary{c.findings, c.lines, c.bySource.Duplicates, o.Requests, o.Suppressed, c.chainSummaries})
		return
	}
	for _, chain := range c.chainSummaries {
		end := "closed in order"
		if !chain.Closed {
			end = "not closed"
		}
		fmt.Fprintf(out, "%s: %d lines, %s, last hash %s.\n", timeline.ReplaceControlChars(fmt.Sprintf("%s (incarnation %d)", chain.Instance, chain.Incarnation)), chain.Lines, end, timeline.ReplaceControlChars(chain.Head))
	}
	verdict := "The logs are whole."
	if c.findings > 0 {
		verdict = fmt.Sprintf("The logs are not whole: %d findings.", c.findings)
	}
	fmt.Fprintf(out, "%d lines of %d incarnations, %d requests, %d events left out by the bound on a request's lines. %s\n", c.lines, len(c.chainSummaries), o.Requests, o.Suppressed, verdict)
}
