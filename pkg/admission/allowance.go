package admission

import (
	"math"
	"time"
)

const (
	// allowanceCap bounds what a workspace saves up while it asks for less than its share.
	allowanceCap = 4
	// askCost is what a refused request costs. Of two workspaces that get equal parts, the one that asks more often finds
	// more of the places in a queue that is nearly full, which this makes up for. minAllowance bounds it.
	askCost      = 0.004
	minAllowance = -1
	// minAllowanceFactor and maxAllowanceFactor bound the requests that may wait, relative to those that are expected to
	// start. The factor grows while there is room and none waits, by e in factorTime.
	minAllowanceFactor = 1.05
	maxAllowanceFactor = 4
	factorTime         = 500 * time.Millisecond
)

// allowances divide what is left for a priority between its workspaces, also where too few requests wait for the order of
// the queue to do so. A workspace may let one more request wait if it has one left, so that asking often gains nothing.
type allowances struct {
	workspaces map[string]*allowance
	factor     float64
	at         time.Time
}

type allowance struct {
	amount float64
	seenAt time.Time
}

// charge takes an amount from an allowance, which may be nil.
func (w *allowance) charge(amount float64) {
	if w != nil {
		w.amount = max(min(w.amount-amount, allowanceCap), minAllowance)
	}
}

// of returns the allowance of a workspace that asks now.
func (a *allowances) of(now time.Time, workspaceName string) *allowance {
	if a.workspaces == nil {
		a.workspaces, a.factor, a.at = map[string]*allowance{}, minAllowanceFactor, now
	}
	w := a.workspaces[workspaceName]
	if w == nil {
		w = &allowance{amount: 1}
		a.workspaces[workspaceName] = w
	}
	w.seenAt = now
	return w
}

// update adds what is expected to start, at a rate a second; idle states that there is room and none waits.
func (a *allowances) update(now time.Time, perSecond float64, idle bool) {
	d := min(max(now.Sub(a.at), 0), recentTime)
	a.at = now
	change := math.Exp(d.Seconds() / factorTime.Seconds())
	if !idle {
		change = 1 / change
	}
	a.factor = min(max(a.factor*change, minAllowanceFactor), maxAllowanceFactor)
	due := perSecond * a.factor * d.Seconds()
	// What one workspace has no use for is divided between the others.
	for range 2 {
		due = a.divide(now, due)
	}
}

// divide gives each workspace its part of an amount, and returns what is left over.
func (a *allowances) divide(now time.Time, amount float64) (left float64) {
	below := 0
	for name, w := range a.workspaces {
		if now.Sub(w.seenAt) > defaultWindow {
			delete(a.workspaces, name)
		} else if w.amount < allowanceCap {
			below++
		}
	}
	for _, w := range a.workspaces {
		if w.amount < allowanceCap {
			got := min(amount/float64(below), allowanceCap-w.amount)
			w.amount += got
			left += amount/float64(below) - got
		}
	}
	return left
}
