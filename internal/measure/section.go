package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Row summarises the samples of one metric of a section.
type Row struct {
	Section string `json:"section"`
	// Case names what was measured, and Variant whether it ran with this project's mechanism or a baseline.
	Case    string  `json:"case"`
	Variant string  `json:"variant"`
	Metric  string  `json:"figure"`
	Unit    string  `json:"unit"`
	Median  float64 `json:"median"`
	Min     float64 `json:"min"`
	Max     float64 `json:"max"`
	Samples int     `json:"samples"`
	// Target is the stated bound, if the metric has one, and TargetMet whether it was met.
	Target    string `json:"target,omitempty"`
	TargetMet *bool  `json:"held,omitempty"`
}

// Variants of a row.
const (
	Ours     = "bambooferry"
	Baseline = "baseline"
)

// Section is a group of measurements.
type Section struct {
	Name        string
	Description string
	Run         func(ctx context.Context, seed uint64) ([]Row, error)
}

// Sections returns all sections in the order in which they run.
func Sections() []Section {
	return []Section{
		{"resume", "wait of callers after an engine is lost, and what resuming costs", measureResume},
		{"routing", "first tokens and cached prompts by policy, with late reports", measureRouting},
		{"overload", "useful work above capacity, and interactive work while batch work waits", measureOverload},
		{"booking", "what claims of calls cost, and calls served while the key-value service is down", measureBooking},
		{"readers", "memory held for callers that stop reading, and what they cost other callers", measureReaders},
		{"versions", "exposure to bad versions, and good versions that are rolled back", measureVersions},
		{"limits", "requests beyond the engines' limits while instances join and end", measureLimits},
		{"control", "what idle instances cost, and how long a revision of the catalogue takes", measureControl},
	}
}

// UnknownSectionError is returned for a section name that does not exist.
type UnknownSectionError struct{ Name string }

func (e *UnknownSectionError) Error() string { return fmt.Sprintf("there is no section %q", e.Name) }

// Run runs the named sections, or all, and returns their rows.
func Run(ctx context.Context, seed uint64, names []string, progress io.Writer) ([]Row, error) {
	all := Sections()
	for _, n := range names {
		if !slices.ContainsFunc(all, func(s Section) bool { return s.Name == n }) {
			return nil, &UnknownSectionError{Name: n}
		}
	}
	var rows []Row
	for _, s := range all {
		if len(names) > 0 && !slices.Contains(names, s.Name) {
			continue
		}
		startedAt := time.Now()
		sectionRows, err := s.Run(ctx, seed)
		if err != nil {
			return rows, errors.Wrapf(err, "section %s", s.Name)
		}
		for i := range sectionRows {
			sectionRows[i].Section = s.Name
		}
		rows = append(rows, sectionRows...)
		fmt.Fprintf(progress, "%s: %s: %.1f s\n", s.Name, s.Description, time.Since(startedAt).Seconds())
	}
	return rows, nil
}

// row summarises samples in a row.
func row(caseName, variant, metric, unit string, samples []float64) Row {
	r := Row{Case: caseName, Variant: variant, Metric: metric, Unit: unit, Samples: len(samples)}
	if len(samples) == 0 {
		return r
	}
	s := slices.Clone(samples)
	slices.Sort(s)
	r.Median, r.Min, r.Max = s[(len(s)-1)/2], s[0], s[len(s)-1]
	return r
}

// withTarget adds a stated target and whether it was met.
func (r Row) withTarget(target string, met bool) Row {
	r.Target, r.TargetMet = target, &met
	return r
}

// AllTargetsMet reports whether every row that has a target meets it.
func AllTargetsMet(rows []Row) bool {
	return !slices.ContainsFunc(rows, func(r Row) bool { return r.TargetMet != nil && !*r.TargetMet })
}

// Print writes the rows as a table or as one JSON object per line.
func Print(w io.Writer, rows []Row, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		for _, r := range rows {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join([]string{"section", "case", "variant", "figure", "median", "min", "max", "n", "target"}, "\t"))
	for _, r := range rows {
		target := r.Target
		if r.TargetMet != nil {
			target += map[bool]string{true: ": held", false: ": MISSED"}[*r.TargetMet]
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s (%s)\t%.4g\t%.4g\t%.4g\t%d\t%s\n", r.Section, r.Case, r.Variant, r.Metric, r.Unit, r.Median, r.Min, r.Max, r.Samples, target)
	}
	return table.Flush()
}
