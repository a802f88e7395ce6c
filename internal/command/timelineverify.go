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
	v := &logVerifier{
		query:     q,
		bySource:  eventlog.Sorter{Compare: timeline.CompareSource, MemoryLimit: q.memoryLimit / 2},
		byRequest: eventlog.Sorter{Compare: timeline.CompareRequest, MemoryLimit: q.memoryLimit / 2},
	}
	defer func() { _, _ = v.bySource.Close(), v.byRequest.Close() }()
	onDamage := func(d eventlog.Damage) {
		v.reportFinding(timeline.Finding{Kind: timeline.DamagedLine, File: d.File, Line: d.Line, Why: d.Reason})
	}
	if err := q.forEachRecord(onDamage, v.addRecord); err != nil {
		return err
	}
	outcomes, err := v.checkSortedRecords()
	if err != nil {
		return err
	}
	v.printSummary(outcomes)
	if v.findings > 0 {
		return &exitError{exitFailed}
	}
	return nil
}

func (v *logVerifier) addRecord(r *timeline.Record) error {
	if err := v.bySource.Add(r); err != nil || r.Request == "" {
		return err
	}
	return v.byRequest.Add(r)
}

func (v *logVerifier) checkSortedRecords() (*timeline.OutcomeChecker, error) {
	ungraceful := map[timeline.Source]bool{}
	chainChecker := timeline.ChainChecker{OnFinding: v.reportFinding, OnChainEnd: func(chain timeline.ChainSummary) {
		v.lines += chain.Lines
		v.chainSummaries = append(v.chainSummaries, chain)
		if !chain.Closed {
			ungraceful[chain.Source] = true
		}
	}}
	if err := v.bySource.ForEach(func(r *timeline.Record) error { chainChecker.Check(r); return nil }); err != nil {
		return nil, err
	}
	chainChecker.Finish()
	outcomeChecker := &timeline.OutcomeChecker{OnFinding: v.reportFinding, Ungraceful: ungraceful}
	if err := v.byRequest.ForEach(func(r *timeline.Record) error { outcomeChecker.Check(r); return nil }); err != nil {
		return nil, err
	}
	outcomeChecker.Finish()
	return outcomeChecker, nil
}

func (v *logVerifier) reportFinding(f timeline.Finding) {
	v.findings++
	if f.File == "" && f.Line > 0 {
		f.File = v.query.files[f.FileIndex]
	}
	if v.query.json {
		_ = json.NewEncoder(v.query.env.Stdout).Encode(f)
		return
	}
	fmt.Fprintln(v.query.env.Stdout, f.Sentence())
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

func (v *logVerifier) printSummary(o *timeline.OutcomeChecker) {
	out := v.query.env.Stdout
	if v.query.json {
		_ = json.NewEncoder(out).Encode(checkSummary{v.findings, v.lines, v.bySource.Duplicates, o.Requests, o.Suppressed, v.chainSummaries})
		return
	}
	for _, chain := range v.chainSummaries {
		end := "closed in order"
		if !chain.Closed {
			end = "not closed"
		}
		fmt.Fprintf(out, "%s: %d lines, %s, last hash %s.\n", timeline.ReplaceControlChars(fmt.Sprintf("%s (incarnation %d)", chain.Instance, chain.Incarnation)), chain.Lines, end, timeline.ReplaceControlChars(chain.Head))
	}
	verdict := "The logs are whole."
	if v.findings > 0 {
		verdict = fmt.Sprintf("The logs are not whole: %d findings.", v.findings)
	}
	fmt.Fprintf(out, "%d lines of %d incarnations, %d requests, %d events left out by the bound on a request's lines. %s\n", v.lines, len(v.chainSummaries), o.Requests, o.Suppressed, verdict)
}
