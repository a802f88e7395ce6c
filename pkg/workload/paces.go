package workload

import (
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	defaultReadTime = 200 * time.Microsecond
	defaultStepTime = 6 * time.Millisecond
)

// Paces learns how slow each target of one pool is. The zero value is ready for use.
type Paces struct{ stated bool }

// RecordStated records a slowness that a target stated; local is set if it stated it to this instance. It returns a
// *RangeError if the figure is out of range, and then ignores it.
func (p *Paces) RecordStated(_ time.Time, address netip.AddrPort, s Statement, _ bool) error {
	if !engine.ValidSlowness(s.Slowness) {
		return &RangeError{address, s.Slowness}
	}
	p.stated = true
	return nil
}

// RecordReading records how long a target took to read a prompt while nothing else ran there.
func (p *Paces) RecordReading(_ time.Time, _ netip.AddrPort, _ float64, _ time.Duration) {}

// RecordWriting records how long a target took to write output beside the given number of streams.
func (p *Paces) RecordWriting(_ time.Time, _ netip.AddrPort, _ float64, _ time.Duration, _ float64) {
}

// Slowness returns the slowness that is expected of a target now.
func (p *Paces) Slowness(_ time.Time, _ netip.AddrPort) float64 { return 1 }

// Base returns the slowness of a target's machine without what disturbs it at present.
func (p *Paces) Base(_ time.Time, _ netip.AddrPort) float64 { return 1 }

// LocalStatements returns the latest statement of each target to this instance that is at most 1.5 s old.
func (p *Paces) LocalStatements(_ time.Time) map[netip.AddrPort]Statement { return nil }

// ReadTime returns the usual time to read a prompt token at slowness 1.
func (p *Paces) ReadTime() time.Duration { return defaultReadTime }

// StepTime returns the usual time to write an output unit at slowness 1.
func (p *Paces) StepTime() time.Duration { return defaultStepTime }

// Stated reports whether any target has stated its slowness.
func (p *Paces) Stated() bool { return p.stated }
