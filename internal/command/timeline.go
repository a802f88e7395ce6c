package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// timelineQuery holds the settings and state of one run of the timeline command.
type timelineQuery struct {
	env          Environment
	files        []string
	request      string
	entry        string
	kind         string
	since        time.Time
	json         bool
	memoryLimit  int
	damagedLines int
}

const minSortMemory = 1 << 20

func runTimeline(_ context.Context, e Environment, args []string) error {
	s := newSettings(e, "timeline", "Merges the event logs of any number of instances in causal order: bambooferry timeline [FLAGS] FILE...\nFiles may be unsorted, truncated or compressed with gzip. With -verify the exit status is 1 if anything is missing.")
	q := &timelineQuery{env: e}
	s.StringVar(&q.request, "request", "", "explain one request, by the `id` in its response's Bambooferry-Request header, or a generation, by its ID")
	s.StringVar(&q.entry, "entry", "", "only events of the entry with this `name`")
	s.StringVar(&q.kind, "kind", "", "only events of this `kind`, such as request_failed")
	since := s.String("since", "", "only events since this `time`, such as 2026-01-31T04:00:00Z")
	s.BoolVar(&q.json, "json", false, "print the unchanged log lines, or findings as JSON")
	verify := s.Bool("verify", false, "check that the logs are complete: no line missing or changed, one outcome for each request, an end for each attempt")
	s.IntVar(&q.memoryLimit, "sort-memory", eventlog.DefaultMemoryLimit, "`bytes` of lines held in memory; more are sorted in the temporary directory")
	s.addCheck("sort-memory", func() bool { return q.memoryLimit >= minSortMemory }, fmt.Sprintf("must be at least %d", minSortMemory))
	s.checks = append(s.checks, func() (err error) {
		if *since == "" {
			return nil
		}
		if q.since, err = time.Parse(time.RFC3339Nano, *since); err != nil {
			return s.settingError("since", "must be a time such as 2026-01-31T04:00:00Z")
		}
		return nil
	})
	s.addCheck("verify", func() bool {
		return !*verify || q.request == "" && q.entry == "" && q.kind == "" && *since == ""
	}, "checks all lines and cannot be combined with -request, -entry, -kind or -since")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	if q.files = s.Args(); len(q.files) == 0 {
		return &SettingError{Flag: "timeline FILE", Rule: "at least one file must be given, after the flags"}
	}
	if *verify {
		return q.verify()
	}
	return q.printEvents()
}

// forEachRecord calls f for each record of all files. Files may be read several times; onDamage is
// nil except in one pass, so that damage is reported once.
func (q *timelineQuery) forEachRecord(onDamage func(eventlog.Damage), f func(*timeline.Record) error) error {
	for i, path := range q.files {
		l := eventlog.File{Path: path, Index: i, OnDamage: onDamage}
		if err := l.ForEach(f); err != nil {
			return err
		}
	}
	return nil
}

func (q *timelineQuery) printDamage(d eventlog.Damage) {
	q.damagedLines++
	fmt.Fprintf(q.env.Stderr, "bambooferry timeline: %s:%d: %s\n", d.File, d.Line, timeline.Phrase(d.Reason))
}

// printEvents prints the selected events in causal order, as sentences or as log lines.
func (q *timelineQuery) printEvents() error {
	requests, err := q.relatedRequests()
	if err != nil {
		return err
	}
	s := &eventlog.Sorter{Compare: timeline.CompareCausal, MemoryLimit: q.memoryLimit}
	defer func() { _ = s.Close() }()
	err = q.forEachRecord(q.printDamage, func(r *timeline.Record) error {
		if !q.matches(r, requests) {
			return nil
		}
		return s.Add(r)
	})
	if err != nil {
		return err
	}
	if q.request != "" && !q.json {
		return q.printRequest(s)
	}
	return s.ForEach(func(r *timeline.Record) error {
		if q.json {
			_, err := fmt.Fprintf(q.env.Stdout, "%s\n", r.Raw)
			return err
		}
		requestSuffix := ""
		if r.Request != "" {
			requestSuffix = " [" + r.Request + "]"
		}
		_, err := io.WriteString(q.env.Stdout, r.WallTime().Format(timeline.DisplayTimeLayout)+"  "+timeline.ReplaceControlChars(r.Instance+requestSuffix)+" "+timeline.Sentence(r)+"\n")
		return err
	})
}

func (q *timelineQuery) printRequest(s *eventlog.Sorter) error {
	printer := timeline.RequestPrinter{WriteLine: func(line string) { fmt.Fprintln(q.env.Stdout, line) }}
	if err := s.ForEach(func(r *timeline.Record) error { printer.Print(r); return nil }); err != nil {
		return err
	}
	if !printer.Finish() {
		fmt.Fprintf(q.env.Stderr, "bambooferry timeline: The logs contain no event of request %q.\n", q.request)
		return &exitError{exitFailed}
	}
	return nil
}

// relatedRequests returns the selected request and all other requests of its generation, or nil if none is selected.
func (q *timelineQuery) relatedRequests() (map[string]bool, error) {
	generations, requests := map[string]bool{q.request: true}, map[string]bool{q.request: true}
	if q.request == "" {
		return nil, nil
	}
	for _, f := range []func(*timeline.Record) error{
		func(r *timeline.Record) error {
			if r.Request == q.request && r.Generation != "" {
				generations[r.Generation] = true
			}
			return nil
		},
		func(r *timeline.Record) error {
			if r.Request != "" && generations[r.Generation] {
				requests[r.Request] = true
			}
			return nil
		},
	} {
		if err := q.forEachRecord(nil, f); err != nil {
			return nil, err
		}
	}
	return requests, nil
}

func (q *timelineQuery) matches(r *timeline.Record, requests map[string]bool) bool {
	return (q.request == "" || requests[r.Request]) &&
		(q.entry == "" || r.Entry == q.entry) &&
		(q.kind == "" || r.Kind == q.kind) &&
		(q.since.IsZero() || r.Wall >= q.since.UnixNano())
}
