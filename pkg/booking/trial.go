package booking

import "time"

const (
	// firstTrialAfter is the time after the last crash from which on a request may test a mark. It grows with each trial, so that what
	// crashes its targets ends one of them in the first hour.
	firstTrialAfter = 10 * time.Minute
	trialBackoff    = 8
	maxTrialPause   = 24 * time.Hour
	// trialSpacing is the time for which the instance of one rank may begin a trial before that of the next one may.
	trialSpacing = 2 * time.Second
)

// Trials counts the requests that were let through to test a mark. A mark that only refuses has nothing to end it.
type Trials struct {
	Count  int
	LastAt time.Time
}

// nextAt returns when the next trial may begin.
func (t *Trials) nextAt(lastCrash time.Time) time.Time {
	pause := firstTrialAfter
	for range min(t.Count, 8) {
		pause = min(trialBackoff*pause, maxTrialPause)
	}
	if t.LastAt.After(lastCrash) {
		lastCrash = t.LastAt
	}
	return lastCrash.Add(pause)
}

// begin reports whether the instance of a rank may begin a trial now, and counts it if so.
func (t *Trials) begin(now, lastCrash time.Time, rank int) bool {
	if rank < 0 || now.Before(t.nextAt(lastCrash).Add(time.Duration(rank)*trialSpacing)) {
		return false
	}
	t.Count++
	t.LastAt = now
	return true
}

// merge applies what another instance knows of trials.
func (t *Trials) merge(other Trials) {
	t.Count = max(t.Count, other.Count)
	if other.LastAt.After(t.LastAt) {
		t.LastAt = other.LastAt
	}
}
