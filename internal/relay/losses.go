package relay

import "time"

const (
	// lossMemory is how long the loss of a target counts against it and its data centre.
	lossMemory = 2 * time.Second
	// toldMemory is how long a loss is told to other instances.
	toldMemory = time.Second
	// centreTargets is the number of targets of one data centre whose loss within lossMemory
	// makes those of others go first.
	centreTargets = 2
	// witnesses is the number of instances whose word is enough to take a target as lost: one
	// alone may be cut off from it.
	witnesses = 2
)

// losses knows which targets of a pool were lately lost; its owner guards it.
type losses struct {
	// own is when this instance last lost a connection to a target, silent when one was lost
	// without a word, and told when others lost one so, by target and instance.
	own    map[string]time.Time
	silent map[string]time.Time
	told   map[string]map[string]time.Time
}

func newLosses() losses {
	return losses{own: map[string]time.Time{}, silent: map[string]time.Time{}, told: map[string]map[string]time.Time{}}
}

// saw notes that this instance lost a connection to a target.
//
// A connection that was reset tells nothing of others to the same target, which would be
// reset too; one that went silent does.
func (l *losses) saw(now time.Time, id string, silent bool) {
	l.own[id] = now
	if silent {
		l.silent[id] = now
	}
}

// tell takes in the targets that another instance lost.
func (l *losses) tell(now time.Time, instance string, ids []string) {
	for _, id := range ids {
		by := l.told[id]
		if by == nil {
			by = map[string]time.Time{}
			l.told[id] = by
		}
		by[instance] = now
	}
}

// recent returns the targets that other instances should hear of.
func (l *losses) recent(now time.Time) []string {
	var list []string
	for id, at := range l.silent {
		if now.Sub(at) <= toldMemory {
			list = append(list, id)
		}
	}
	return list
}

// forget drops what is too old to count.
func (l *losses) forget(now time.Time) {
	for _, list := range []map[string]time.Time{l.own, l.silent} {
		for id, at := range list {
			if now.Sub(at) > lossMemory {
				delete(list, id)
			}
		}
	}
	for id, by := range l.told {
		for instance, at := range by {
			if now.Sub(at) > lossMemory {
				delete(by, instance)
			}
		}
		if len(by) == 0 {
			delete(l.told, id)
		}
	}
}

// centres returns the data centres that lately lost several targets, by this instance's or by
// several instances' word.
func (l *losses) centres(now time.Time, centreOf func(id string) string) []string {
	l.forget(now)
	var bad []string
	for dc, n := range l.count(centreOf) {
		if n.own >= centreTargets || n.targets >= centreTargets && len(n.instances) >= witnesses {
			bad = append(bad, dc)
		}
	}
	return bad
}

// tally is what was lost in one data centre.
type tally struct {
	own       int
	targets   int
	instances map[string]bool
}

func (l *losses) count(centreOf func(id string) string) map[string]*tally {
	counts := map[string]*tally{}
	at := func(id string) *tally {
		dc := centreOf(id)
		if counts[dc] == nil {
			counts[dc] = &tally{instances: map[string]bool{}}
		}
		return counts[dc]
	}
	for id := range l.own {
		at(id).own++
	}
	for id, by := range l.told {
		t := at(id)
		t.targets++
		for instance := range by {
			t.instances[instance] = true
		}
	}
	delete(counts, "")
	return counts
}

// since reports whether a target went silent after a time: by this instance's or several others'
// word, or because most of its data centre did.
func (l *losses) since(now time.Time, id string, begun time.Time, centreOf func(id string) string, size int) bool {
	if l.silent[id].After(begun) {
		return true
	}
	n := 0
	for _, at := range l.told[id] {
		if at.After(begun) && now.Sub(at) <= lossMemory {
			n++
		}
	}
	return n >= witnesses || l.mostSilent(now, centreOf(id), begun, centreOf, size)
}

// mostSilent reports whether at least half of a data centre's targets went silent after a time.
func (l *losses) mostSilent(now time.Time, dc string, begun time.Time, centreOf func(id string) string, size int) bool {
	l.forget(now)
	instances := map[string]bool{}
	targets := map[string]bool{}
	for id, at := range l.silent {
		if centreOf(id) == dc && at.After(begun) {
			targets[id], instances[""] = true, true
		}
	}
	for id, by := range l.told {
		for instance, at := range by {
			if centreOf(id) == dc && at.After(begun) {
				targets[id], instances[instance] = true, true
			}
		}
	}
	return len(instances) >= witnesses && 2*len(targets) >= size
}
