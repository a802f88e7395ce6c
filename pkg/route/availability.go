package route

import "time"

const (
	// availabilityTTL is how long a statement of an incarnation that is no longer listed is kept: its
	// entry may come back from a copy of the source.
	availabilityTTL = 2 * time.Minute
	// MaxBackoff bounds the time for which a target is left alone at its own request.
	MaxBackoff = 5 * time.Minute
)

// Availability holds what targets have stated about new requests: that they are leaving, or that they want
// none for a time. Its zero value is ready for use; its owner guards it.
type Availability struct {
	leaving map[string]departing
	// local holds the ends of the times stated to this instance, remote those stated to others.
	local  map[string]time.Time
	remote map[string]time.Time
}

type departing struct {
	startedAt time.Time
	// announcedAt is when the target stated it to this instance, or the zero time.
	announcedAt time.Time
	listedAt    time.Time
}

// RecordLeaving records that a target has said that it is leaving, to this instance if local is set, and
// reports whether that is new.
func (a *Availability) RecordLeaving(now time.Time, t Target, local bool) bool {
	known := a.IsLeaving(t)
	if known && !local {
		return false
	}
	if a.leaving == nil {
		a.leaving = map[string]departing{}
	}
	d := departing{startedAt: t.StartedAt, listedAt: now}
	if old := a.leaving[t.ID]; known {
		d = old
	}
	if local && d.announcedAt.IsZero() {
		d.announcedAt = now
	}
	a.leaving[t.ID] = d
	return !known
}

// IsLeaving reports whether a target has said that it is leaving. That holds until its incarnation ends;
// the next one may have the same ID.
func (a *Availability) IsLeaving(t Target) bool {
	d, ok := a.leaving[t.ID]
	return ok && !t.StartedAt.After(d.startedAt)
}

// RecordBackoff records that a target wants no requests from this instance for a time, or from another one
// if local is not set, and returns the end of that time.
func (a *Availability) RecordBackoff(now time.Time, id string, d time.Duration, local bool) time.Time {
	list := &a.remote
	if local {
		list = &a.local
	}
	if *list == nil {
		*list = map[string]time.Time{}
	}
	until := now.Add(min(d, MaxBackoff))
	if until.After((*list)[id]) {
		(*list)[id] = until
	}
	return (*list)[id]
}

// BackoffEnd returns the time until which this instance must not use a target, or the zero time.
func (a *Availability) BackoffEnd(now time.Time, id string) time.Time {
	if until := a.local[id]; now.Before(until) {
		return until
	}
	return time.Time{}
}

// BacksOffElsewhere reports whether a target wants no requests from another instance, which makes it likely
// that it is overloaded.
func (a *Availability) BacksOffElsewhere(now time.Time, id string) bool {
	return now.Before(a.remote[id])
}

// AnnouncedSince returns the start times of the targets, by ID, that have stated to this instance since a time
// that they are leaving.
func (a *Availability) AnnouncedSince(since time.Time) map[string]time.Time {
	var out map[string]time.Time
	for id, d := range a.leaving {
		if d.announcedAt.After(since) {
			if out == nil {
				out = map[string]time.Time{}
			}
			out[id] = d.startedAt
		}
	}
	return out
}

// LocalBackoffs returns how long each target wants no more requests from this instance.
func (a *Availability) LocalBackoffs(now time.Time) map[string]time.Duration {
	var out map[string]time.Duration
	for id, until := range a.local {
		if now.Before(until) {
			if out == nil {
				out = map[string]time.Duration{}
			}
			out[id] = until.Sub(now)
		}
	}
	return out
}

// Retain drops what is over, and the statements of targets that have not been listed for availabilityTTL.
func (a *Availability) Retain(now time.Time, listed []Target) {
	for _, t := range listed {
		if d, ok := a.leaving[t.ID]; ok {
			d.listedAt = now
			a.leaving[t.ID] = d
		}
	}
	for id, d := range a.leaving {
		if now.Sub(d.listedAt) > availabilityTTL {
			delete(a.leaving, id)
		}
	}
	for _, list := range []map[string]time.Time{a.local, a.remote} {
		for id, until := range list {
			if !now.Before(until) {
				delete(list, id)
			}
		}
	}
}
