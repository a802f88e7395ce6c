package relay

import "time"

const (
	// lossWindow is how long the loss of a target counts against it and its data centre.
	lossWindow = 2 * time.Second
	// lossReportWindow is how long a loss is reported to other instances.
	lossReportWindow = time.Second
	// failingDataCentreTargets is the number of targets of one data centre whose loss within
	// lossWindow makes targets of other data centres preferred.
	failingDataCentreTargets = 2
	// minReporters is the number of instances whose reports are enough to treat a target as lost: a
	// single instance may be cut off from it.
	minReporters = 2
)

// lossTracker tracks which targets of a pool were recently lost; its owner guards it.
type lossTracker struct {
	// local is when this instance last lost a connection to a target, localSilent when one was lost
	// by silence, and reported when other instances lost one by silence, by target and instance.
	local       map[string]time.Time
	localSilent map[string]time.Time
	reported    map[string]map[string]time.Time
	// heard holds when this instance last received an answer or output of a target, which outweighs earlier reports of
	// losses: the instances that report them may share a fault of their own links.
	heard map[string]time.Time
}

func newLossTracker() lossTracker {
	return lossTracker{local: map[string]time.Time{}, localSilent: map[string]time.Time{}, reported: map[string]map[string]time.Time{}, heard: map[string]time.Time{}}
}

// recordHeard records that this instance has received an answer or output of a target.
func (l *lossTracker) recordHeard(now time.Time, id string) { l.heard[id] = now }

// forgetLocal removes this instance's own losses of a target since a time.
func (l *lossTracker) forgetLocal(id string, since time.Time) {
	for _, list := range []map[string]time.Time{l.local, l.localSilent} {
		if at, ok := list[id]; ok && !at.Before(since) {
			delete(list, id)
		}
	}
}

// recordLocal records that this instance lost a connection to a target.
//
// A reset says nothing about other connections to the same target, which would be reset too;
// silence does.
func (l *lossTracker) recordLocal(now time.Time, id string, silent bool) {
	l.local[id] = now
	if silent {
		l.localSilent[id] = now
	}
}

// recordReport records the targets that another instance lost.
func (l *lossTracker) recordReport(now time.Time, instance string, ids []string) {
	for _, id := range ids {
		reports := l.reported[id]
		if reports == nil {
			reports = map[string]time.Time{}
			l.reported[id] = reports
		}
		reports[instance] = now
	}
}

// recentSilent returns the lost targets to report to other instances. contactAt is when this instance last received
// data from any target: one that has received none since the loss may itself be cut off.
func (l *lossTracker) recentSilent(now, contactAt time.Time) []string {
	var list []string
	for id, at := range l.localSilent {
		if now.Sub(at) <= lossReportWindow && contactAt.After(at) {
			list = append(list, id)
		}
	}
	return list
}

// expire removes losses older than lossWindow.
func (l *lossTracker) expire(now time.Time) {
	for _, list := range []map[string]time.Time{l.local, l.localSilent} {
		for id, at := range list {
			if now.Sub(at) > lossWindow {
				delete(list, id)
			}
		}
	}
	for id, at := range l.heard {
		if now.Sub(at) > lossWindow {
			delete(l.heard, id)
		}
	}
	for id, reports := range l.reported {
		for instance, at := range reports {
			if now.Sub(at) > lossWindow || !at.After(l.heard[id]) {
				delete(reports, instance)
			}
		}
		if len(reports) == 0 {
			delete(l.reported, id)
		}
	}
}

// failingDataCentres returns the data centres that recently lost several targets, as observed by
// this instance or reported by several others.
func (l *lossTracker) failingDataCentres(now time.Time, dataCentreOf func(id string) string) []string {
	l.expire(now)
	var failing []string
	for dc, n := range l.countByDataCentre(dataCentreOf) {
		if n.local >= failingDataCentreTargets || n.targets >= failingDataCentreTargets && len(n.instances) >= minReporters {
			failing = append(failing, dc)
		}
	}
	return failing
}

// lossCount counts the losses in one data centre.
type lossCount struct {
	local     int
	targets   int
	instances map[string]bool
}

func (l *lossTracker) countByDataCentre(dataCentreOf func(id string) string) map[string]*lossCount {
	counts := map[string]*lossCount{}
	countFor := func(id string) *lossCount {
		dc := dataCentreOf(id)
		if counts[dc] == nil {
			counts[dc] = &lossCount{instances: map[string]bool{}}
		}
		return counts[dc]
	}
	for id := range l.local {
		countFor(id).local++
	}
	for id, reports := range l.reported {
		count := countFor(id)
		count.targets++
		for instance := range reports {
			count.instances[instance] = true
		}
	}
	delete(counts, "")
	return counts
}

// silentSince reports whether a target went silent after a time: as observed by this instance, as
// reported by several others, or because most of its data centre did.
func (l *lossTracker) silentSince(now time.Time, id string, since time.Time, dataCentreOf func(id string) string, size int) bool {
	if l.localSilent[id].After(since) {
		return true
	}
	n := 0
	for _, at := range l.reported[id] {
		if at.After(since) && at.After(l.heard[id]) && now.Sub(at) <= lossWindow {
			n++
		}
	}
	return n >= minReporters || l.mostOfDataCentreSilent(now, dataCentreOf(id), since, dataCentreOf, size)
}

// lostRecently reports whether a target was lost within lossWindow by this instance, or by several
// others.
func (l *lossTracker) lostRecently(now time.Time, id string) bool {
	if at, ok := l.local[id]; ok && now.Sub(at) <= lossWindow {
		return true
	}
	n := 0
	for _, at := range l.reported[id] {
		if at.After(l.heard[id]) && now.Sub(at) <= lossWindow {
			n++
		}
	}
	return n >= minReporters
}

// mostOfDataCentreSilent reports whether at least half of a data centre's targets went silent after
// a time, as observed by at least minReporters instances together.
func (l *lossTracker) mostOfDataCentreSilent(now time.Time, dc string, since time.Time, dataCentreOf func(id string) string, size int) bool {
	l.expire(now)
	instances := map[string]bool{}
	targets := map[string]bool{}
	for id, at := range l.localSilent {
		if dataCentreOf(id) == dc && at.After(since) {
			targets[id], instances[""] = true, true
		}
	}
	for id, reports := range l.reported {
		for instance, at := range reports {
			if dataCentreOf(id) == dc && at.After(since) {
				targets[id], instances[instance] = true, true
			}
		}
	}
	return len(instances) >= minReporters && 2*len(targets) >= size
}
