package server

import "time"

// CallLimits holds the limits of calls that run at most once.
type CallLimits struct {
	// Shards is the number of values in the key-value service that hold claims; it must be the
	// same on all instances.
	Shards int
	// Retention is the time for which a claim and its result are kept.
	Retention time.Duration
	// ClaimTimeout bounds the wait for a claim to be written.
	ClaimTimeout time.Duration
	// WriteTimeout bounds one write to the key-value service.
	WriteTimeout time.Duration
	// WriteSpacing is the mean time between group writes of one busy shard, so that all shards
	// together stay below the write rate that the service allows. The shards of one instance
	// share a budget of writes, which permits short bursts.
	WriteSpacing time.Duration
	// PerShardBudgets gives each shard its own write budget, for comparison in measurements.
	PerShardBudgets bool
	// RecordDelay is how long a result waits to be written together with a claim. If the
	// instance dies in that time, the call's outcome is unknown to repeats.
	RecordDelay time.Duration
	// MaxGroup bounds the operations of one write; 0 means no bound.
	MaxGroup int
	// UnreachableWait is how long a repeat keeps trying to contact a claimant that is unreachable.
	UnreachableWait time.Duration
	// TicketTTL is the time for which a ticket is valid.
	TicketTTL time.Duration
	// MaxTickets bounds the used tickets that are remembered.
	MaxTickets int
	// MaxKeptBytes bounds the size of the answers kept in memory, and MaxKeptAnswers their number.
	MaxKeptBytes   int
	MaxKeptAnswers int
	// CrashMarkTTL is the time for which a request that crashes targets is refused.
	CrashMarkTTL time.Duration
}

// DefaultCallLimits returns the default limits.
//
// 32 shards with a spacing of 80 ms make at most 400 writes a second, which the service allows.
// More shards hold more claims, but make a claim wait longer under load.
func DefaultCallLimits() CallLimits {
	return CallLimits{
		Shards:          32,
		Retention:       2 * time.Hour,
		ClaimTimeout:    time.Second,
		WriteTimeout:    500 * time.Millisecond,
		WriteSpacing:    80 * time.Millisecond,
		RecordDelay:     250 * time.Millisecond,
		UnreachableWait: time.Second,
		TicketTTL:       10 * time.Minute,
		MaxTickets:      10_000,
		MaxKeptBytes:    16 << 20,
		MaxKeptAnswers:  20_000,
		CrashMarkTTL:    10 * time.Minute,
	}
}
