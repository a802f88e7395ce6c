package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"bambooferry.example/bambooferry/internal/eventlog"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// timelineQuery is what the timeline command was asked.
type timelineQuery struct {
	env     Environment
	files   []string
	request string
	entry   string
	kind    string
	since   time.Time
	json    bool
	memory  int
	damaged int
}

const minSortMemory = 1 << 20

func runTimeline(_ context.Context, e Environment, args []string) error {
	s := newSettings(e, "timeline", "Merges the event logs of any number of instances in causal order: bambooferry timeline [FLAGS] FILE...\nFiles may be unsorted, cut off or compressed with gzip. With -verify the exit status is 1 if anything is missing.")
	q := &timelineQuery{env: e}
	s.StringVar(&q.request, "request", "", "tell the story of one request, by the `id` in its answers' Bambooferry-Request, or of a generation, by its id")
	s.StringVar(&q.entry, "entry", "", "only events of the entry with this `name`")
	s.StringVar(&q.kind, "kind", "", "only events of this `kind`, such as request_failed")
	since := s.String("since", "", "only events from this `time` on, such as 2026-01-31T04:00:00Z")
	s.BoolVar(&q.json, "json", false, "print the lines as they are, or findings as JSON")
	verify := s.Bool("verify", false, "check that the logs are whole: no line missing or changed, one outcome a request, an end of each attempt")
	s.IntVar(&q.memory, "sort-memory", eventlog.DefaultMemoryLimit, "`bytes` of lines held in memory; more are sorted in the temporary directory")
	s.check("sort-memory", func() bool { return q.memory >= minSortMemory }, fmt.Sprintf("must be at least %d", minSortMemory))
	s.checks = append(s.checks, func() (err error) {
		if *since == "" {
			return nil
		}
		if q.since, err = time.Parse(time.RFC3339Nano, *since); err != nil {
			return s.wrong("since", "must be a time such as 2026-01-31T04:00:00Z")
		}
		return nil
	})
	s.check("verify", func() bool {
		return !*verify || q.request == "" && q.entry == "" && q.kind == "" && *since == ""
	}, "checks all lines, so that it takes no -request, -entry, -kind or -since")
	if err := s.read(args); err != nil {
		return err
	}
	if q.files = s.Args(); len(q.files) == 0 {
		return &SettingError{Flag: "timeline FILE", Rule: "at least one file must be given, after the flags"}
	}
	if *verify {
		return q.verify()
	}
	return q.tell()
}

// each reads all files; damage is told once, by the reading for which report is set.
func (q *timelineQuery) each(report func(eventlog.Damage), f func(*timeline.Record) error) error {
	for i, path := range q.files {
		l := eventlog.File{Path: path, Index: i, OnDamage: report}
		if err := l.ForEach(f); err != nil {
			return err
		}
	}
	return nil
}

func (q *timelineQuery) damage(d eventlog.Damage) {
	q.damaged++
	fmt.Fprintf(q.env.Stderr, "bambooferry timeline: %s:%d: %s\n", d.File, d.Line, timeline.Phrase(d.Reason))
}

// tell prints the events that were asked for, as sentences or lines.
func (q *timelineQuery) tell() error {
	requests, err := q.related()
	if err != nil {
		return err
	}
	s := &eventlog.Sorter{Compare: timeline.CompareCausal, MemoryLimit: q.memory}
	defer func() { _ = s.Close() }()
	err = q.each(q.damage, func(r *timeline.Record) error {
		if !q.wanted(r, requests) {
			return nil
		}
		return s.Add(r)
	})
	if err != nil {
		return err
	}
	if q.request != "" && !q.json {
		return q.story(s)
	}
	return s.ForEach(func(r *timeline.Record) error {
		if q.json {
			_, err := fmt.Fprintf(q.env.Stdout, "%s\n", r.Raw)
			return err
		}
		about := ""
		if r.Request != "" {
			about = " [" + r.Request + "]"
		}
		_, err := io.WriteString(q.env.Stdout, r.WallTime().Format(timeline.DisplayTimeLayout)+"  "+timeline.ReplaceControlChars(r.Instance+about)+" "+timeline.Sentence(r)+"\n")
		return err
	})
}

func (q *timelineQuery) story(s *eventlog.Sorter) error {
	story := timeline.RequestPrinter{WriteLine: func(line string) { fmt.Fprintln(q.env.Stdout, line) }}
	if err := s.ForEach(func(r *timeline.Record) error { story.Print(r); return nil }); err != nil {
		return err
	}
	if !story.Finish() {
		fmt.Fprintf(q.env.Stderr, "bambooferry timeline: The logs have no event of request %q.\n", q.request)
		return &exitError{exitFailed}
	}
	return nil
}

// related returns the request asked for and all others of its generation, which belong to its story.
func (q *timelineQuery) related() (map[string]bool, error) {
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
		if err := q.each(nil, f); err != nil {
			return nil, err
		}
	}
	return requests, nil
}

func (q *timelineQuery) wanted(r *timeline.Record, requests map[string]bool) bool {
	return (q.request == "" || requests[r.Request]) &&
		(q.entry == "" || r.Entry == q.entry) &&
		(q.kind == "" || r.Kind == q.kind) &&
		(q.since.IsZero() || r.Wall >= q.since.UnixNano())
}
