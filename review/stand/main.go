package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name; each returns whether the rule held.
var cases = map[string]func(record *recorder, trouble bool) (bool, error){
	"reader-restart":   runReaderRestart,
	"shared-part":      runSharedPart,
	"large-requests":   runLargeRequests,
	"small-pool":       runSmallPool,
	"little-traffic":   runLittleTraffic,
	"crashing-request": runCrashingRequest,
	"late-listing":     runLateListing,
}

func main() { os.Exit(run()) }

func run() int {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		killAll()
		os.Exit(exitCannotRun)
	}()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitCannotRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitCannotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer record.Close()
	held, err := c(record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Summary("the case could not run: %v", err)
		return exitCannotRun
	case held:
		record.Summary("the rule held")
		return exitHeld
	}
	record.Summary("the rule was broken")
	return exitBroken
}
