package command

import (
	"context"
	"strings"

	"bambooferry.example/bambooferry/internal/measure"
)

func runMeasure(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "measure", "Measures performance as users see it, with stand-ins on loopback, and compares each figure with a plain baseline.")
	asJSON := s.Bool("json", false, "print one JSON object for each figure")
	seed := s.Uint64("seed", 1, "`seed` of the runs")
	sections := s.String("only", "", "`names` of sections, separated by commas; all if empty")
	plotDir := s.String("plot", "", "`directory` for a chart of each section; none if empty")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	var names []string
	if *sections != "" {
		names = strings.Split(*sections, ",")
	}
	rows, err := measure.Run(ctx, *seed, names, e.Stderr)
	if err != nil {
		return err
	}
	if err := measure.Print(e.Stdout, rows, *asJSON); err != nil {
		return err
	}
	if *plotDir != "" {
		if err := measure.Plot(*plotDir, rows); err != nil {
			return err
		}
	}
	if !measure.AllTargetsMet(rows) {
		return &exitError{exitFailed}
	}
	return nil
}
