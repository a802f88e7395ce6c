package engine

import (
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
)

// VersionFaults restricts when FailVersion and SlowVersion apply, and sets how the engine treats orders.
type VersionFaults struct {
	// BadAfter is the time from setting the faults until FailVersion and SlowVersion take effect.
	BadAfter catalogue.Duration `json:"bad_after"`
	// BadAboveRunning is the number of running generations above which they take effect.
	BadAboveRunning int `json:"bad_above"`
	// BadOnPrompt is the text that a prompt must contain to be affected by them.
	BadOnPrompt string `json:"bad_on"`
	// IgnoreFence makes the engine obey orders whatever their fencing number.
	IgnoreFence bool `json:"ignore_fence"`
}

// versionFaultApplies reports whether the fault of version v affects a request. The caller holds the lock.
func (e *Engine) versionFaultApplies(r *engine.Request, v string) bool {
	f := &e.faults
	return v != "" && v == r.Version &&
		time.Since(e.faultsSetAt) >= time.Duration(f.BadAfter) &&
		e.running > f.BadAboveRunning &&
		strings.Contains(r.Prompt, f.BadOnPrompt)
}
