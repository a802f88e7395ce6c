package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RemovalTracker decides when ended members may be removed from the roster.
//
// It waits until work that an ended instance started can no longer run at a target, and until
// every other instance that may use a slot of it has stated that it uses none: the members, and
// the instances on the platform's list that are not members but may have borrowed.
type RemovalTracker struct {
	Self Key
	// Linger is how long a target may continue work whose connection was lost, including the time it
	// needs to notice the loss.
	Linger time.Duration
	// ListLag is the longest time that the platform's list needs to show a running instance.
	ListLag time.Duration

	roster *Roster
	// endSeen is when each ended member was first seen marked as ended.
	endSeen map[Key]time.Time
	// fencedBy has, for each ended member, the instances that have fenced it.
	fencedBy map[Key]map[Key]bool
	// listHasSelf is set if the last list had this instance.
	listHasSelf bool
	// everListed are the members that have been on the list.
	everListed map[Key]bool
	// unlistedSince is the time from which the list has lacked a member that had ended by then.
	unlistedSince map[Key]time.Time
	// borrowersListed is the time of the first list that must have every running instance to which the
	// member may have lent, since the member had been absent for the list's lag by then.
	borrowersListed map[Key]time.Time
	// nonMembers are instances that are or were on the list and are not members.
	nonMembers map[Key]*nonMember
}

// nonMember is an instance that is or was on the list and is not on the roster.
type nonMember struct {
	Member
	// unlistedSince is the time from which the list has lacked it; zero while the list has it.
	unlistedSince time.Time
}

// Update records the roster that the next write would replace and the platform's list, which must have
// been requested, at listRequested, after the roster was read.
func (t *RemovalTracker) Update(listRequested, now time.Time, r *Roster, list []Member) {
	if t.endSeen == nil {
		t.endSeen, t.fencedBy = map[Key]time.Time{}, map[Key]map[Key]bool{}
		t.everListed = map[Key]bool{}
		t.unlistedSince, t.borrowersListed, t.nonMembers = map[Key]time.Time{}, map[Key]time.Time{}, map[Key]*nonMember{}
	}
	t.roster = r
	removed := func(key Key) bool { _, ok := r.Member(key); return !ok }
	maps.DeleteFunc(t.endSeen, func(key Key, _ time.Time) bool { return removed(key) })
	maps.DeleteFunc(t.fencedBy, func(key Key, _ map[Key]bool) bool { return removed(key) })
	maps.DeleteFunc(t.everListed, func(key Key, _ bool) bool { return removed(key) })
	maps.DeleteFunc(t.unlistedSince, func(key Key, _ time.Time) bool { return removed(key) })
	maps.DeleteFunc(t.borrowersListed, func(key Key, _ time.Time) bool { return removed(key) })
	for _, m := range r.Members {
		if _, seen := t.endSeen[m.Key()]; m.Ended && !seen {
			t.endSeen[m.Key()], t.fencedBy[m.Key()] = now, map[Key]bool{}
		}
	}
	listed := map[Key]Member{}
	for _, m := range list {
		listed[m.Key()] = m
	}
	// A list without this instance does not cover the whole deployment.
	if _, t.listHasSelf = listed[t.Self]; t.listHasSelf {
		t.updateMembers(listRequested, now, listed)
		t.updateNonMembers(now, listed)
	}
}

// updateMembers records which members are on the list, and since when it lacks those that have ended.
func (t *RemovalTracker) updateMembers(listRequested, now time.Time, listed map[Key]Member) {
	for _, m := range t.roster.Members {
		key := m.Key()
		if _, onList := listed[key]; onList {
			t.everListed[key] = true
			delete(t.unlistedSince, key)
			delete(t.borrowersListed, key)
			continue
		}
		// A member that has not been on the list yet may be running.
		if !t.everListed[key] && !m.Ended {
			continue
		}
		if _, known := t.unlistedSince[key]; !known {
			t.unlistedSince[key] = now
		}
		if _, known := t.borrowersListed[key]; !known && listRequested.Sub(t.unlistedSince[key]) >= t.ListLag {
			t.borrowersListed[key] = now
		}
	}
}

// updateNonMembers adds the non-members on the list, and drops those whose work has ended or that have joined.
func (t *RemovalTracker) updateNonMembers(now time.Time, listed map[Key]Member) {
	for key, m := range listed {
		if key != t.Self {
			t.nonMembers[key] = &nonMember{Member: m}
		}
	}
	for key, n := range t.nonMembers {
		_, onList := listed[key]
		_, isMember := t.roster.Member(key)
		switch {
		case isMember:
			delete(t.nonMembers, key)
		case onList:
		case n.unlistedSince.IsZero():
			n.unlistedSince = now
		case now.Sub(n.unlistedSince) >= t.Linger:
			delete(t.nonMembers, key)
		}
	}
}

// OutgoingFence is a request to an instance to fence an ended member.
type OutgoingFence struct {
	To    Member
	Ended Key
}

// PendingFences returns the fences that instances have not confirmed yet, for members whose linger time has passed.
func (t *RemovalTracker) PendingFences(now time.Time) []OutgoingFence {
	var fences []OutgoingFence
	for _, ended := range sortedKeys(t.endSeen) {
		if !t.lingerPassed(now, ended) {
			continue
		}
		for _, m := range t.roster.Members {
			if !m.Ended && !t.fencedBy[ended][m.Key()] {
				fences = append(fences, OutgoingFence{m, ended})
			}
		}
		for _, key := range sortedKeys(t.nonMembers) {
			if n := t.nonMembers[key]; n.unlistedSince.IsZero() && !t.fencedBy[ended][key] {
				fences = append(fences, OutgoingFence{n.Member, ended})
			}
		}
	}
	return fences
}

// RecordFenced records that an instance has fenced an ended member and uses nothing of it.
func (t *RemovalTracker) RecordFenced(ended, by Key) {
	if t.fencedBy[ended] != nil {
		t.fencedBy[ended][by] = true
	}
}

func sortedKeys[V any](m map[Key]V) []Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// lingerPassed reports whether work that the ended member started can no longer run at a target.
func (t *RemovalTracker) lingerPassed(now time.Time, ended Key) bool {
	endSeen, ok := t.endSeen[ended]
	return ok && now.Sub(endSeen) >= t.Linger
}

// Removable returns the members that may be removed from the roster of the last Update.
func (t *RemovalTracker) Removable(now time.Time) []Key {
	var removable []Key
	for _, ended := range sortedKeys(t.endSeen) {
		if t.listHasSelf && t.lingerPassed(now, ended) && t.fencedByMembers(now, ended) && t.fencedByNonMembers(now, ended) {
			removable = append(removable, ended)
		}
	}
	return removable
}

// fencedByMembers reports whether every other member has fenced the ended member, or has itself ended and its
// linger time has passed.
func (t *RemovalTracker) fencedByMembers(now time.Time, ended Key) bool {
	for _, m := range t.roster.Members {
		if m.Key() != ended && !t.fencedBy[ended][m.Key()] && !t.lingerPassed(now, m.Key()) {
			return false
		}
	}
	return true
}

// fencedByNonMembers reports whether no instance outside the roster can use a slot of the ended member.
func (t *RemovalTracker) fencedByNonMembers(now time.Time, ended Key) bool {
	// A borrower that ended before that list may have left work that runs for up to Linger after it.
	listedAt, ok := t.borrowersListed[ended]
	if !ok || now.Sub(listedAt) < t.Linger {
		return false
	}
	for key := range t.nonMembers {
		if !t.fencedBy[ended][key] {
			return false
		}
	}
	return true
}
