package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Exit statuses of the program.
const (
	exitOK      = 0
	exitFailed  = 1
	exitSetting = 2
)

// Subcommand describes a subcommand of the program.
type Subcommand struct {
	Name  string
	Usage string
	Run   func(ctx context.Context, e Environment, args []string) error
}

// Environment holds the standard streams and environment variables of a subcommand.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
}

// ProcessEnvironment returns the environment of this process.
func ProcessEnvironment() Environment {
	return Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv}
}

func subcommands() []Subcommand {
	return []Subcommand{
		{"serve", "run an entry instance", runServe},
		{"standin", "run a stand-in: platform, engine or service", runStandin},
		{"catalogue", "check, put and read the operators' configuration", runCatalogue},
		{"measure", "measure resuming, version changes, memory and limits", runMeasure},
		{"demo", "show what happens when engines and instances fail, in one process", runDemo},
		{"timeline", "merge, explain and check the event logs of instances", runTimeline},
	}
}

// Main runs the subcommand named by the first argument and returns the exit status.
func Main(ctx context.Context, e Environment, args []string) int {
	return dispatch(ctx, e, "bambooferry", subcommands(), args)
}

// dispatch runs the command named by the first argument, or prints the usage, and returns the exit status.
func dispatch(ctx context.Context, e Environment, name string, commands []Subcommand, args []string) int {
	if len(args) > 0 {
		for _, c := range commands {
			if c.Name == args[0] {
				return exitStatus(e, name+" "+c.Name, c.Run(ctx, e, args[1:]))
			}
		}
	}
	fmt.Fprintf(e.Stderr, "usage: %s COMMAND [FLAGS]\n\n", name)
	for _, c := range commands {
		fmt.Fprintf(e.Stderr, "  %-10s %s\n", c.Name, c.Usage)
	}
	fmt.Fprintf(e.Stderr, "\n%s COMMAND -help shows the flags of a command.\n", name)
	if len(args) == 1 && (args[0] == "-help" || args[0] == "help") {
		return exitOK
	}
	return exitSetting
}

// exitError is returned by a subcommand that has already reported its failure, to set the exit status.
type exitError struct{ Status int }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.Status) }

// exitStatus prints the error of a subcommand, if any, and returns the exit status for it.
func exitStatus(e Environment, name string, err error) int {
	var setting *SettingError
	var exit *exitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &exit):
		return exit.Status
	case errors.As(err, &setting):
		fmt.Fprintf(e.Stderr, "%s: %v\n", name, err)
		return exitSetting
	default:
		fmt.Fprintf(e.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
}
