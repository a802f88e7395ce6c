package instance

import "time"

// RingCount is the number of rings, and so of heartbeats that an instance sends in one interval.
const RingCount = 4

// Bounds of what a table holds and a message carries.
const (
	MaxMembers = 1024
	// MaxNews fills messages only while very many members change at once, as when a
	// data centre is lost.
	MaxNews      = 24
	MaxDistances = 16
	maxName      = 64
	maxReports   = 8
	maxProbes    = 4
)

// Timing are the times by which a table decides.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats in one ring.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a monitor reports a member.
	SuspectAfter time.Duration
	// RefuteTimeout is the time that a member has to refute two reports; it covers two
	// exchanges over a neighbour that still hears the member.
	RefuteTimeout time.Duration
	// DeclaredDeathTimeout is the time to refute a death that another instance declared. The
	// member hears of it late then: with 99 members 600 ms were up to 100 ms too short.
	DeclaredDeathTimeout time.Duration
	// SoleReportTimeout is the wait before one report suffices, when all other monitors are silent too.
	SoleReportTimeout time.Duration
	// ReportTTL is the time for which a report counts unless it is renewed.
	ReportTTL time.Duration
	// PauseThreshold is the gap between two ticks above which the instance itself was paused.
	PauseThreshold time.Duration
	// ProbeInterval is the time between two probes of dead members.
	ProbeInterval time.Duration
	// ForgetAfter is the time for which dead members are probed; it outlasts the hour
	// for which regions may lose contact.
	ForgetAfter time.Duration
	// MinSyncInterval is the shortest time between two exchanges of whole tables.
	MinSyncInterval time.Duration
}

// DefaultTiming returns the rules by which a death is detected within 2 s.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:    200 * time.Millisecond,
		SuspectAfter:         500 * time.Millisecond,
		RefuteTimeout:        600 * time.Millisecond,
		DeclaredDeathTimeout: 1200 * time.Millisecond,
		SoleReportTimeout:    time.Second,
		ReportTTL:            3 * time.Second,
		PauseThreshold:       500 * time.Millisecond,
		ProbeInterval:        time.Second,
		ForgetAfter:          2 * time.Hour,
		MinSyncInterval:      2 * time.Second,
	}
}
