package relay

import (
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// targetChanges logs the targets that one update changes: a line each, or one line with their numbers.
//
// An instance that gets its updates from a reader summarises them, since the reader's lines of the same
// revision name the targets.
type targetChanges struct {
	log       *timeline.Writer
	revision  int64
	member    string
	summarise bool
	counts    map[string]int64
}

func (c *targetChanges) add(now time.Time, ev timeline.Event) {
	if !c.summarise {
		c.log.Write(now, ev)
		return
	}
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[ev.Decision]++
}

// write logs the summary, if there is one.
func (c *targetChanges) write(now time.Time) {
	if len(c.counts) == 0 {
		return
	}
	ev := timeline.Event{Kind: "targets_changed", Member: c.member, Revision: c.revision}
	for _, decision := range [...]string{"open", "leaving", "taken_out", "kept_after_outage"} {
		if n := c.counts[decision]; n > 0 {
			ev.Inputs = append(ev.Inputs, timeline.Input{Name: decision, Value: n})
		}
	}
	c.log.Write(now, ev)
}
