package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/slot"
)

// maxPoolKinds bounds the kinds of pools in a status; there are three.
const maxPoolKinds = 8

// slotCounts is the blackboard key of the state of slots by kind of pool.
var slotCounts = blackboard.Key[map[string]slot.Usage]{Name: "slot-counts"}

// Load is the current load of one instance.
type Load struct {
	Streams    int64 `json:"streams"`
	Paused     int64 `json:"paused_streams"`
	CrashMarks int   `json:"crash_marks"`
	// Slots is keyed by kind of pool; it is empty while the instance has no roster.
	Slots map[string]SlotLoad `json:"slots,omitempty"`
	// Roles is set on the instance that sends orders, if the catalogue requests roles.
	Roles *RoleReport `json:"roles,omitempty"`
}

// SlotLoad is the state of the slots of one kind of pool.
type SlotLoad struct {
	Held  int `json:"held"`
	InUse int `json:"in_use"`
	// Idle counts the held slots that are neither in use nor lent.
	Idle     int `json:"idle"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
}

// currentLoad returns the current load of this instance.
func (s *Server) currentLoad() Load {
	counts, _ := slotCounts.Get(s.Board)
	l := Load{Streams: int64(s.streams.len()), Paused: s.memory.pausedStreams.Load(), CrashMarks: s.calls.countCrashMarks(time.Now())}
	if len(counts) > 0 {
		l.Slots = make(map[string]SlotLoad, len(counts))
	}
	for kind, c := range counts {
		l.Slots[kind] = SlotLoad{Held: c.Held, InUse: c.Used, Idle: max(c.Held-c.Used-c.Lent, 0), Lent: c.Lent, Borrowed: c.Borrowed}
	}
	if r, _ := Roles.Get(s.Board); len(r.Roles) > 0 {
		l.Roles = &r
	}
	return l
}

// countCrashMarks counts the requests that are refused because they crash targets.
func (k *callState) countCrashMarks(now time.Time) int {
	k.crashes.mu.Lock()
	defer k.crashes.mu.Unlock()
	return k.crashes.detector.MarkedCount(now)
}
