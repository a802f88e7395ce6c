package usage

import (
	"strings"
	"time"
)

const (
	// maxCount bounds a count of one instance, window and workspace: some 100 times what an instance can serve.
	maxCount = 1_000_000
	// maxIncarnations bounds the processes of one instance that are counted in a window.
	maxIncarnations = 8
	// collectedWindows is the number of windows before the present one that a Collector keeps. It is one more than the
	// instances keep, so that no total is dropped before its window is reported.
	collectedWindows = KeptWindows + 1
	// heardTTL is how long an instance counts as heard after a message: it sends one each second at least.
	heardTTL = 2500 * time.Millisecond
	// forgetAfter is how long an instance counts against MaxInstances after its last message.
	forgetAfter = time.Minute
)

// Rejection says why a part of a message was ignored.
type Rejection string

// The reasons of rejections.
const (
	RejectedNegative     Rejection = "negative_count"
	RejectedHuge         Rejection = "huge_count"
	RejectedWindow       Rejection = "other_window"
	RejectedWorkspace    Rejection = "bad_workspace"
	RejectedWorkspaces   Rejection = "too_many_workspaces"
	RejectedInstances    Rejection = "too_many_instances"
	RejectedIncarnations Rejection = "too_many_incarnations"
)

// Collector holds the totals of all instances. Totals only grow, so the order of the messages doesn't matter.
type Collector struct {
	heard   map[string]time.Time
	windows map[int64]*collectedWindow
}

type collectedWindow struct {
	// workspaces holds the place of each workspace in the totals.
	workspaces map[string]int
	senders    map[string][]incarnationTotals
}

type incarnationTotals struct {
	incarnation int64
	totals      []int64
}

// Add applies a message at a present window and returns why parts of it were ignored, if any were.
func (c *Collector) Add(now time.Time, current int64, m *Counts) []Rejection {
	if !c.recordHeard(now, m.Instance) {
		return []Rejection{RejectedInstances}
	}
	var rejected []Rejection
	for window, counts := range m.Windows {
		if window < current-collectedWindows || window > current+1 {
			rejected = append(rejected, RejectedWindow)
			continue
		}
		for workspace, n := range counts {
			if why := c.add(window, m.Instance, m.Incarnation, workspace, n); why != "" {
				rejected = append(rejected, why)
			}
		}
	}
	for window := range c.windows {
		if window < current-collectedWindows || window > current+1 {
			delete(c.windows, window)
		}
	}
	return rejected
}

func (c *Collector) recordHeard(now time.Time, instance string) bool {
	if _, known := c.heard[instance]; !known && len(c.heard) >= MaxInstances {
		for other, at := range c.heard {
			if now.Sub(at) > forgetAfter {
				delete(c.heard, other)
			}
		}
		if len(c.heard) >= MaxInstances {
			return false
		}
	}
	if c.heard == nil {
		c.heard = map[string]time.Time{}
	}
	c.heard[instance] = now
	return true
}

func (c *Collector) add(window int64, instance string, incarnation int64, workspace string, n int64) Rejection {
	switch {
	case n < 0:
		return RejectedNegative
	case n > maxCount:
		return RejectedHuge
	case workspace == "" || len(workspace) > maxName:
		return RejectedWorkspace
	}
	w := c.windows[window]
	if w == nil {
		if c.windows == nil {
			c.windows = map[int64]*collectedWindow{}
		}
		w = &collectedWindow{workspaces: map[string]int{}, senders: map[string][]incarnationTotals{}}
		c.windows[window] = w
	}
	place, known := w.workspaces[workspace]
	if !known {
		if len(w.workspaces) >= MaxWorkspaces {
			return RejectedWorkspaces
		}
		place = len(w.workspaces)
		w.workspaces[strings.Clone(workspace)] = place
	}
	totals := w.totalsOf(instance, incarnation)
	if totals == nil {
		return RejectedIncarnations
	}
	for len(*totals) <= place {
		*totals = append(*totals, 0)
	}
	(*totals)[place] = max((*totals)[place], n)
	return ""
}

// totalsOf returns the totals of a process, or nil if its instance has had too many.
func (w *collectedWindow) totalsOf(instance string, incarnation int64) *[]int64 {
	list := w.senders[instance]
	for i := range list {
		if list[i].incarnation == incarnation {
			return &list[i].totals
		}
	}
	if len(list) >= maxIncarnations {
		return nil
	}
	w.senders[instance] = append(list, incarnationTotals{incarnation: incarnation})
	return &w.senders[instance][len(list)].totals
}

// Sum returns the counts of a window over all instances and their former processes.
func (c *Collector) Sum(window int64) map[string]int64 {
	sum := map[string]int64{}
	w := c.windows[window]
	if w == nil {
		return sum
	}
	byPlace := make([]int64, len(w.workspaces))
	for _, list := range w.senders {
		for _, sender := range list {
			for place, n := range sender.totals {
				byPlace[place] += n
			}
		}
	}
	for workspace, place := range w.workspaces {
		if byPlace[place] > 0 {
			sum[workspace] = byPlace[place]
		}
	}
	return sum
}

// Heard returns the number of instances that have sent a message lately.
func (c *Collector) Heard(now time.Time) int {
	n := 0
	for _, at := range c.heard {
		if now.Sub(at) < heardTTL {
			n++
		}
	}
	return n
}
