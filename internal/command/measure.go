package command

import (
	"context"
	"strings"

	"bambooferry.example/bambooferry/internal/measure"
)

func runMeasure(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "measure", "Measures what users care about, over stand-ins on loopback, each figure beside a plain baseline.")
	asJSON := s.Bool("json", false, "print one JSON object a figure")
	seed := s.Uint64("seed", 1, "`seed` of the runs")
	only := s.String("only", "", "`names` of sections, separated by commas; all if empty")
	plots := s.String("plot", "", "`directory` to write a chart for each section to; none if empty")
	if err := s.read(args); err != nil {
		return err
	}
	var names []string
	if *only != "" {
		names = strings.Split(*only, ",")
	}
	rows, err := measure.Run(ctx, *seed, names, e.Stderr)
	if err != nil {
		return err
	}
	if err := measure.Print(e.Stdout, rows, *asJSON); err != nil {
		return err
	}
	if *plots != "" {
		if err := measure.Plot(*plots, rows); err != nil {
			return err
		}
	}
	if !measure.AllTargetsMet(rows) {
		return &exitError{exitFailed}
	}
	return nil
}
