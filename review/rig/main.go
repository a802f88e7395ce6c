// Command rig plays the scripted cases of a review: it starts the project's daemon as separate processes, with stand-ins of
// the platform's store, of engines and of callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario plays one case and reports whether the rule held.
type scenario func(f *fleet, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"parts":       playParts,
	"copies":      playCopies,
	"batch":       playBatch,
	"path":        playPath,
	"bodies":      playBodies,
	"key":         playKey,
	"descriptors": playDescriptors,
	"framing":     playFraming,
	"successor":   playSuccessor,
}

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		return exitFailed
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.close()
		os.Exit(exitFailed)
	}()
	held, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	case held:
		f.record.printf("the rule held")
		return exitHeld
	}
	f.record.printf("the rule was broken")
	return exitBroken
}
