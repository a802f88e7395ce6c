package platform

import (
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Faults tells in which ways the service fails.
type Faults struct {
	// Down answers every call with status 503.
	Down bool `json:"down"`
	// Silent takes calls and never answers them.
	Silent bool `json:"silent"`
	// Delay holds back every answer.
	Delay catalogue.Duration `json:"delay"`
	// LoseResponses drops the responses to that many writes after they took effect.
	LoseResponses int `json:"lose_answers"`
	// DropWrites drops that many writes before they take effect, without an answer.
	DropWrites int `json:"drop_writes"`
	// LateWrites drops the answers to that many writes, which take effect LateBy later if they still can.
	LateWrites int                `json:"late_writes"`
	LateBy     catalogue.Duration `json:"late_by"`
	// DelayWrites holds back the answers to writes that took effect.
	DelayWrites catalogue.Duration `json:"delay_writes"`
	// ListDelay delays the visibility of changes to the instance list.
	ListDelay catalogue.Duration `json:"list_lag"`
	// ExpireLeases ends all leases immediately when it is set.
	ExpireLeases bool `json:"lapse_leases"`
}

func (f Faults) delay() time.Duration { return time.Duration(f.Delay) }
