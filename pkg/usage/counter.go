package usage

import "time"

const (
	// KeptWindows is the number of windows whose totals an instance keeps: a holder that takes over after the end of a
	// window still gets the window's totals from all instances.
	KeptWindows = 4
	// counterSlots is the number of windows for which a workspace has a slot: the kept ones, and later ones of a clock
	// that was ahead.
	counterSlots = 8
	// MaxWorkspaces bounds the workspaces of a window.
	MaxWorkspaces = 2000
)

// Totals holds counts by window and workspace.
type Totals map[int64]map[string]int64

func (t Totals) set(window int64, workspace string, n int64) {
	if t[window] == nil {
		t[window] = map[string]int64{}
	}
	t[window][workspace] = n
}

type counterSlot struct {
	window, count int64
	changedAt     time.Time
}

// Counter holds the totals of an instance by window and workspace.
type Counter struct {
	workspaces map[string]*[counterSlots]counterSlot
	dropped    int64
}

// Add counts one request. It allocates nothing for a known workspace.
func (c *Counter) Add(now time.Time, window int64, workspace string) {
	slots := c.workspaces[workspace]
	if slots == nil {
		if len(c.workspaces) >= MaxWorkspaces {
			c.dropped++
			return
		}
		if c.workspaces == nil {
			c.workspaces = map[string]*[counterSlots]counterSlot{}
		}
		slots = &[counterSlots]counterSlot{}
		c.workspaces[workspace] = slots
	}
	s := &slots[uint64(window)%counterSlots]
	if s.window != window {
		*s = counterSlot{window: window}
	}
	s.count++
	s.changedAt = now
}

// AppendTotals adds to t the kept totals that have changed at since or later, as seen in the present window, and those of
// the window all whether changed or not. It forgets workspaces without requests in the kept windows.
func (c *Counter) AppendTotals(t Totals, current int64, since time.Time, all int64) {
	for workspace, slots := range c.workspaces {
		used := false
		for i := range slots {
			s := &slots[i]
			if s.count == 0 || s.window <= current-KeptWindows || s.window > current+1 {
				continue
			}
			used = true
			if s.window == all || !s.changedAt.Before(since) {
				t.set(s.window, workspace, s.count)
			}
		}
		if !used {
			delete(c.workspaces, workspace)
		}
	}
}

// Dropped returns the number of requests that were not counted, because there were too many workspaces.
func (c *Counter) Dropped() int64 { return c.dropped }

const (
	// SendInterval is the time between two messages with totals that change.
	SendInterval = 500 * time.Millisecond
	// repeatTime is how long a change is sent: with two messages a lost one does no harm.
	repeatTime = 2*SendInterval + SendInterval/5
)

// Selection returns which totals an instance sends at a time: those that changed at since or later, and all those of a
// window. In the time in which the holder waits for the last counts of a window, that is the window.
func Selection(now, trueNow time.Time, window time.Duration) (since time.Time, all int64) {
	all = WindowOf(trueNow.Add(-closeDelay), window)
	if all == WindowOf(trueNow, window) {
		all = -1
	}
	return now.Add(-repeatTime), all
}
