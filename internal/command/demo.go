package command

import (
	"context"

	"bambooferry.example/bambooferry/internal/demo"
)

func runDemo(ctx context.Context, e Environment, args []string) error {
	s := newSettings(e, "demo", "Starts a small deployment in this process, makes parts of it fail and shows the effect on callers.")
	asJSON := s.Bool("json", false, "print one JSON object for each scenario")
	if err := s.parseAndCheck(args); err != nil {
		return err
	}
	results, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	if !demo.Print(e.Stdout, results, *asJSON) {
		return &exitError{exitFailed}
	}
	return nil
}
