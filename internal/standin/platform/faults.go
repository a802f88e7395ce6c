package platform

import (
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Faults selects the ways in which the service fails.
type Faults struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// Silent accepts calls and never responds to them.
	Silent bool `json:"silent"`
	// Delay delays the handling of every call.
	Delay catalogue.Duration `json:"delay"`
	// LoseResponses drops the responses to that many writes after they took effect.
	LoseResponses int `json:"lose_answers"`
	// DropWrites discards that many writes before they take effect, without a response.
	DropWrites int `json:"drop_writes"`
	// LateWrites drops the responses to that many writes and applies them LateBy later, if their expected version still matches.
	LateWrites int                `json:"late_writes"`
	LateBy     catalogue.Duration `json:"late_by"`
	// DelayWrites delays the responses to writes, after they took effect.
	DelayWrites catalogue.Duration `json:"delay_writes"`
	// ListDelay delays the visibility of changes to the instance list.
	ListDelay catalogue.Duration `json:"list_lag"`
	// ExpireLeases ends all leases immediately when it is set.
	ExpireLeases bool `json:"lapse_leases"`
}

func (f Faults) callDelay() time.Duration { return time.Duration(f.Delay) }
