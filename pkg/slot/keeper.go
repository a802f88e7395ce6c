package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RemovalTracker decides when members that are over may be taken off the roster.
//
// It waits until what an ended instance began can no longer run at a target, and until
// every other instance that may have a slot of it has said that it has none: the members, and
// the instances on the platform's list that are not members but may have borrowed.
type RemovalTracker struct {
	Self Key
	// Linger is how long a target may run work whose connection was lost, with the time it
	// needs to notice the loss.
	Linger time.Duration
	// ListLag is the longest time that the platform's list needs to show an instance that runs.
	ListLag time.Duration

	roster *Roster
	since  map[Key]time.Time
	acks   map[Key]map[Key]bool
	// covered is set when the last list had this instance.
	covered bool
	// seen are the members that the list has had.
	seen map[Key]bool
	// absent is since when the list has lacked a member that had ended by then.
	absent map[Key]time.Time
	// shown is the first look at which the list had every running instance to which the member,
	// which was absent for the list's lag by then, may have lent.
	shown map[Key]time.Time
	// others are instances on the list that are not members.
	others map[Key]*other
}

// other is an instance that the list has or had and the roster does not have.
type other struct {
	Member
	// gone is since when the list has lacked it; zero while the list has it.
	gone time.Time
}

// Update takes in the roster that the next change would replace and the platform's list, which was
// asked for after the roster was read.
func (k *RemovalTracker) Update(asked, now time.Time, r *Roster, list []Member) {
	if k.since == nil {
		k.since, k.acks = map[Key]time.Time{}, map[Key]map[Key]bool{}
		k.seen = map[Key]bool{}
		k.absent, k.shown, k.others = map[Key]time.Time{}, map[Key]time.Time{}, map[Key]*other{}
	}
	k.roster = r
	removed := func(key Key) bool { _, ok := r.Member(key); return !ok }
	maps.DeleteFunc(k.since, func(key Key, _ time.Time) bool { return removed(key) })
	maps.DeleteFunc(k.acks, func(key Key, _ map[Key]bool) bool { return removed(key) })
	maps.DeleteFunc(k.seen, func(key Key, _ bool) bool { return removed(key) })
	maps.DeleteFunc(k.absent, func(key Key, _ time.Time) bool { return removed(key) })
	maps.DeleteFunc(k.shown, func(key Key, _ time.Time) bool { return removed(key) })
	for _, m := range r.Members {
		if _, seen := k.since[m.Key()]; m.Ended && !seen {
			k.since[m.Key()], k.acks[m.Key()] = now, map[Key]bool{}
		}
	}
	listed := map[Key]Member{}
	for _, m := range list {
		listed[m.Key()] = m
	}
	// A list without this instance does not cover the deployment.
	if _, k.covered = listed[k.Self]; k.covered {
		k.watchMembers(asked, now, listed)
		k.watchOthers(now, listed)
	}
}

func (k *RemovalTracker) watchMembers(asked, now time.Time, listed map[Key]Member) {
	for _, m := range k.roster.Members {
		key := m.Key()
		if _, there := listed[key]; there {
			k.seen[key] = true
			delete(k.absent, key)
			delete(k.shown, key)
			continue
		}
		// A member that has not been on the list yet may run.
		if !k.seen[key] && !m.Ended {
			continue
		}
		if _, known := k.absent[key]; !known {
			k.absent[key] = now
		}
		if _, known := k.shown[key]; !known && asked.Sub(k.absent[key]) >= k.ListLag {
			k.shown[key] = now
		}
	}
}

func (k *RemovalTracker) watchOthers(now time.Time, listed map[Key]Member) {
	for key, m := range listed {
		if key != k.Self {
			k.others[key] = &other{Member: m}
		}
	}
	for key, o := range k.others {
		_, there := listed[key]
		_, member := k.roster.Member(key)
		switch {
		case member:
			delete(k.others, key)
		case there:
		case o.gone.IsZero():
			o.gone = now
		case now.Sub(o.gone) >= k.Linger:
			delete(k.others, key)
		}
	}
}

// OutgoingFence is a question to an instance whether it has done with a member that is over.
type OutgoingFence struct {
	To    Member
	Ended Key
}

// PendingFences returns the questions that have no answer yet.
func (k *RemovalTracker) PendingFences(now time.Time) []OutgoingFence {
	var list []OutgoingFence
	for _, over := range sortedKeys(k.since) {
		if !k.lingered(now, over) {
			continue
		}
		for _, m := range k.roster.Members {
			if !m.Ended && !k.acks[over][m.Key()] {
				list = append(list, OutgoingFence{m, over})
			}
		}
		for _, key := range sortedKeys(k.others) {
			if o := k.others[key]; o.gone.IsZero() && !k.acks[over][key] {
				list = append(list, OutgoingFence{o.Member, over})
			}
		}
	}
	return list
}

// RecordFenced takes in that an instance has done with a member.
func (k *RemovalTracker) RecordFenced(over, by Key) {
	if k.acks[over] != nil {
		k.acks[over][by] = true
	}
}

func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

func (k *RemovalTracker) lingered(now time.Time, over Key) bool {
	since, ok := k.since[over]
	return ok && now.Sub(since) >= k.Linger
}

// Removable returns the members that the roster of Watch may lose.
func (k *RemovalTracker) Removable(now time.Time) []Key {
	var list []Key
	for _, over := range sortedKeys(k.since) {
		if k.covered && k.lingered(now, over) && k.acked(now, over) && k.othersAcked(now, over) {
			list = append(list, over)
		}
	}
	return list
}

func (k *RemovalTracker) acked(now time.Time, over Key) bool {
	for _, m := range k.roster.Members {
		if m.Key() != over && !k.acks[over][m.Key()] && !k.lingered(now, m.Key()) {
			return false
		}
	}
	return true
}

// othersAcked reports whether no instance outside the roster can use a slot of the member.
func (k *RemovalTracker) othersAcked(now time.Time, over Key) bool {
	// One that had ended before it was listed may have left work until then.
	shown, ok := k.shown[over]
	if !ok || now.Sub(shown) < k.Linger {
		return false
	}
	for key := range k.others {
		if !k.acks[over][key] {
			return false
		}
	}
	return true
}
