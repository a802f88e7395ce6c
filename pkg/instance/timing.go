package instance

import "time"

// RingCount is the number of rings, and so the number of heartbeats that an instance sends per interval.
const RingCount = 4

// Limits on the contents of tables and messages.
const (
	MaxMembers = 1024
	// MaxNews is reached only while very many members change at once, as when a data
	// centre is lost.
	MaxNews            = 24
	MaxDistances       = 16
	maxNameBytes       = 64
	maxReports         = 8
	maxCandidateProbes = 4
)

// Timing holds the intervals and timeouts by which a table decides.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats in one ring.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without an answer after which a monitor reports a member.
	SuspectAfter time.Duration
	// RefuteTimeout is the time that a member has to refute two reports; it covers two
	// exchanges through a neighbour that still receives messages from the member.
	RefuteTimeout time.Duration
	// DeclaredDeathTimeout is the time to refute a death that another instance declared. The
	// declaration reaches the member late: with 99 members 600 ms were up to 100 ms too short.
	DeclaredDeathTimeout time.Duration
	// SoleReportTimeout is the wait before one report suffices, if all other monitors are silent too.
	SoleReportTimeout time.Duration
	// ReportTTL is how long a report counts unless it is renewed.
	ReportTTL time.Duration
	// PauseThreshold is the gap between two ticks above which the instance itself was paused.
	PauseThreshold time.Duration
	// ProbeInterval is the time between two probes of dead members.
	ProbeInterval time.Duration
	// ForgetAfter is how long dead members are probed; it exceeds the hour for which regions may
	// lose contact.
	ForgetAfter time.Duration
	// MinSyncInterval is the minimum time between two exchanges of whole tables.
	MinSyncInterval time.Duration
}

// DefaultTiming returns the timing with which a death is detected within 2 s.
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
