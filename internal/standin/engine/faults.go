package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Faults selects the ways in which the engine fails.
type Faults struct {
	// Die stops the engine and closes its listener and all connections.
	Die bool `json:"die"`
	// Pause blocks all requests and output until it is cleared.
	Pause bool `json:"pause"`
	// SilenceConnections permanently stops output on the connections that are open now; later ones are not affected.
	SilenceConnections bool `json:"silence"`
	// Refuse rejects new requests with status 503 and outcome not_run.
	Refuse bool `json:"refuse"`
	// CrashOnPrompt is the text whose presence in a prompt crashes the engine.
	CrashOnPrompt string `json:"crash_on"`
	// CrashAtPosition is the position of the token at which such a prompt crashes the engine; at 0 the engine
	// crashes when it accepts the prompt.
	CrashAtPosition uint64 `json:"crash_at"`
	// CrashAfter, if above 0, delays the crash for such a prompt by this time after the engine accepts it.
	CrashAfter catalogue.Duration `json:"crash_after"`
	// Slowdown, if above 0, multiplies all token times.
	Slowdown float64 `json:"slow"`
	// RepeatTokens sends each token of open connections twice; SkipTokens omits every tenth.
	RepeatTokens bool `json:"repeat"`
	SkipTokens   bool `json:"skip"`
	// FailVersion makes generations of that version abort after some tokens.
	FailVersion string `json:"fail_version"`
	// SlowVersion makes tokens of that version take VersionSlowdown times as long.
	SlowVersion     string  `json:"slow_version"`
	VersionSlowdown float64 `json:"slow_factor"`
	// LoadLag delays load reports, EventLag cache events.
	LoadLag  catalogue.Duration `json:"load_lag"`
	EventLag catalogue.Duration `json:"event_lag"`
	// DropEveryNthEvent, if above 0, drops every n-th cache event.
	DropEveryNthEvent int `json:"event_gap"`
	VersionFaults
}

// crashesAt reports whether a prompt crashes the engine before it generates the token at a position.
func (f *Faults) crashesAt(prompt string, position uint64) bool {
	return f.CrashOnPrompt != "" && f.CrashAtPosition > 0 && position >= f.CrashAtPosition && strings.Contains(prompt, f.CrashOnPrompt)
}

// crashDelay reports whether a prompt crashes the engine at no particular position, and how long after accepting it.
func (f *Faults) crashDelay(prompt string) (time.Duration, bool) {
	return time.Duration(f.CrashAfter), f.CrashOnPrompt != "" && f.CrashAtPosition == 0 && strings.Contains(prompt, f.CrashOnPrompt)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	previous := e.faults
	e.faults, e.faultsSetAt = f, time.Now()
	if f.SilenceConnections {
		e.silencedUpTo = e.connections
	}
	if previous.Pause && !f.Pause {
		close(e.unpaused)
	}
	if !previous.Pause && f.Pause {
		e.unpaused = make(chan struct{})
	}
	e.mu.Unlock()
	if f.Die {
		e.Kill()
	}
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
