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

// Subcommand is one subcommand of the program.
type Subcommand struct {
	Name  string
	Usage string
	Run   func(ctx context.Context, e Environment, args []string) error
}

// Environment is what a subcommand gets from its surroundings.
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
		{"serve", "run an entry instance", serve},
		{"standin", "run a stand-in: platform, engine or service", standin},
		{"catalogue", "check, put and read what operators configure", runCatalogue},
		{"measure", "measure resuming, version changes, memory and limits", runMeasure},
		{"demo", "show what happens when engines and instances fail, in one process", runDemo},
		{"timeline", "merge, explain and check the event logs of instances", runTimeline},
	}
}

// Main runs the subcommand that args name and returns the exit status.
func Main(ctx context.Context, e Environment, args []string) int {
	return dispatch(ctx, e, "bambooferry", subcommands(), args)
}

func dispatch(ctx context.Context, e Environment, name string, list []Subcommand, args []string) int {
	if len(args) > 0 {
		for _, c := range list {
			if c.Name == args[0] {
				return status(e, name+" "+c.Name, c.Run(ctx, e, args[1:]))
			}
		}
	}
	fmt.Fprintf(e.Stderr, "usage: %s COMMAND [FLAGS]\n\n", name)
	for _, c := range list {
		fmt.Fprintf(e.Stderr, "  %-10s %s\n", c.Name, c.Usage)
	}
	fmt.Fprintf(e.Stderr, "\n%s COMMAND -help shows the flags of a command.\n", name)
	if len(args) == 1 && (args[0] == "-help" || args[0] == "help") {
		return exitOK
	}
	return exitSetting
}

// exitError carries an exit status through the error return of a subcommand.
type exitError struct{ Status int }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.Status) }

func status(e Environment, name string, err error) int {
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
