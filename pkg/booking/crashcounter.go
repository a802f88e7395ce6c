package booking

import (
	"cmp"
	"slices"
	"time"
)

// maxConsecutiveCrashes is the number of consecutive targets that a request may crash before it is
// refused: one or two may have crashed at the same time for unrelated reasons.
const maxConsecutiveCrashes = 3

// CrashCounter counts the consecutive crashes of targets that ran a request, and finds requests
// that crash every target. Set its exported field before the first call.
//
// A request counts as the cause only if its attempts crashed targets one after another and none
// finished in between: many requests with the same content may be lost when several targets crash
// at once. A crash beside those of other targets at the same moment does not count.
type CrashCounter struct {
	// Retention is how long a crash counts.
	Retention time.Duration

	attempts map[string][]crashedAttempt
	// trials holds the trials of requests that are refused.
	trials map[string]*Trials
	// crashes holds the last crashes of targets, whatever requests they ran.
	crashes []crashedTarget
	// droppedAt is the time of the last deletion of expired crashes.
	droppedAt time.Time
}

// crashedTarget is a crash of a target.
type crashedTarget struct {
	target string
	at     time.Time
}

// crashedAttempt is an attempt to run a request whose target crashed.
type crashedAttempt struct {
	target    string
	startedAt time.Time
	crashedAt time.Time
}

const (
	// maxCrashedAttempts bounds the attempts kept of one request, and maxCrashedRequests the requests.
	maxCrashedAttempts = 32
	maxCrashedRequests = 4096
	// dropInterval is the minimum time between two deletions of expired crashes.
	dropInterval = time.Second
)

// RecordCrash records that a target crashed while it ran a request since startedAt, and reports whether the request is
// refused from now on.
//
// Crashes may be recorded in any order. Several reports of one crash count once if they name its target.
func (c *CrashCounter) RecordCrash(crashedAt, startedAt time.Time, target, digest string) (marked bool) {
	if c.attempts == nil {
		c.attempts = map[string][]crashedAttempt{}
	}
	list := c.attempts[digest]
	if target != "" && slices.ContainsFunc(list, func(a crashedAttempt) bool {
		return a.target == target && a.crashedAt.Sub(crashedAt).Abs() < sameCrashWindow
	}) {
		return false
	}
	wasMarked := len(c.CountedCrashes(digest)) >= maxConsecutiveCrashes
	list = append(list, crashedAttempt{target, startedAt, crashedAt})
	slices.SortStableFunc(list, func(a, b crashedAttempt) int { return a.crashedAt.Compare(b.crashedAt) })
	latest := list[len(list)-1].crashedAt
	list = slices.DeleteFunc(list, func(a crashedAttempt) bool { return latest.Sub(a.crashedAt) > c.Retention })
	list = list[max(len(list)-maxCrashedAttempts, 0):]
	if len(c.attempts) >= maxCrashedRequests && len(list) == 1 {
		c.dropOldest()
	}
	c.attempts[digest] = list
	c.recordTarget(target, crashedAt)
	return !wasMarked && len(c.CountedCrashes(digest)) >= maxConsecutiveCrashes
}

// recordTarget records that a target has crashed; several requests and instances report each crash.
func (c *CrashCounter) recordTarget(target string, at time.Time) {
	if target == "" || slices.ContainsFunc(c.crashes, func(k crashedTarget) bool { return k.target == target && k.at.Sub(at).Abs() < sameCrashWindow }) {
		return
	}
	c.crashes = append(c.crashes, crashedTarget{target, at})
	c.crashes = c.crashes[max(len(c.crashes)-maxPartCrashes, 0):]
}

// hasCommonCause reports whether so many targets that did not run the request crashed at the moment of an attempt's crash that it is
// not the cause.
func (c *CrashCounter) hasCommonCause(a crashedAttempt, list []crashedAttempt) bool {
	without := 0
	for _, k := range c.crashes {
		if k.at.Sub(a.crashedAt).Abs() <= commonCauseWindow && !slices.ContainsFunc(list, func(own crashedAttempt) bool { return own.target == k.target }) {
			without++
		}
	}
	return without >= minCommonCause
}

// RecordSuccess records that a target finished a request, and reports whether the request was
// suspected.
func (c *CrashCounter) RecordSuccess(digest string) bool {
	_, known := c.attempts[digest]
	c.forget(digest)
	return known
}

// BeginTrial reports whether a request that is refused may run at the instance of a rank to test whether it still crashes its target,
// and counts it if so. RecordSuccess ends the refusal.
func (c *CrashCounter) BeginTrial(now time.Time, digest string, rank int) bool {
	return c.IsMarked(now, digest) && c.trialsOf(digest).begin(now, c.lastCrash(digest), rank)
}

// NextTrial returns when a request that is refused may run again.
func (c *CrashCounter) NextTrial(digest string) time.Time {
	return c.trialsOf(digest).nextAt(c.lastCrash(digest))
}

// RecordTrials records trials of a request at other instances.
func (c *CrashCounter) RecordTrials(digest string, trials Trials) {
	if len(c.attempts[digest]) > 0 {
		c.trialsOf(digest).merge(trials)
	}
}

// Trials returns the trials of a request.
func (c *CrashCounter) Trials(digest string) Trials { return *c.trialsOf(digest) }

func (c *CrashCounter) trialsOf(digest string) *Trials {
	if t := c.trials[digest]; t != nil {
		return t
	}
	t := &Trials{}
	if len(c.attempts[digest]) > 0 {
		if c.trials == nil {
			c.trials = map[string]*Trials{}
		}
		c.trials[digest] = t
	}
	return t
}

// Marked returns up to n requests that must be refused, those with the latest crashes, in order.
func (c *CrashCounter) Marked(now time.Time, n int) []string {
	c.dropExpired(now)
	var list []string
	for digest := range c.attempts {
		if len(c.CountedCrashes(digest)) >= maxConsecutiveCrashes {
			list = append(list, digest)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Or(c.lastCrash(b).Compare(c.lastCrash(a)), cmp.Compare(a, b)) })
	list = list[:min(len(list), n)]
	slices.Sort(list)
	return list
}

// lastCrash returns when a target last crashed while it ran a request.
func (c *CrashCounter) lastCrash(digest string) time.Time {
	list := c.attempts[digest]
	if len(list) == 0 {
		return time.Time{}
	}
	return list[len(list)-1].crashedAt
}

// CountedCrashes returns the crashes that count against a request: those of attempts that followed one another, and that have no common
// cause with others.
func (c *CrashCounter) CountedCrashes(digest string) []CountedCrash {
	var out []CountedCrash
	list := c.attempts[digest]
	for _, a := range list {
		if c.hasCommonCause(a, list) {
			continue
		}
		if len(out) == 0 || !a.startedAt.Before(out[len(out)-1].At) {
			out = append(out, CountedCrash{Target: a.target, At: a.crashedAt, StartedAt: a.startedAt})
		}
	}
	return out
}

// CountedCrash is a crash that counts against a request.
type CountedCrash struct {
	Target    string
	At        time.Time
	StartedAt time.Time
}

func (c *CrashCounter) forget(digest string) {
	delete(c.attempts, digest)
	delete(c.trials, digest)
}

// dropOldest deletes the request with the earliest last crash.
func (c *CrashCounter) dropOldest() {
	oldest := ""
	for digest := range c.attempts {
		if oldest == "" || c.lastCrash(digest).Before(c.lastCrash(oldest)) {
			oldest = digest
		}
	}
	c.forget(oldest)
}

// IsMarked reports whether a request must be refused.
func (c *CrashCounter) IsMarked(now time.Time, digest string) bool {
	c.dropExpired(now)
	if list := c.attempts[digest]; len(list) < maxConsecutiveCrashes || now.Sub(c.lastCrash(digest)) > c.Retention {
		return false
	}
	return len(c.CountedCrashes(digest)) >= maxConsecutiveCrashes
}

// Empty reports whether no request is suspected.
func (c *CrashCounter) Empty() bool { return len(c.attempts) == 0 }

// dropExpired deletes crashes older than Retention, at most once in dropInterval.
func (c *CrashCounter) dropExpired(now time.Time) {
	if now.Sub(c.droppedAt).Abs() < dropInterval {
		return
	}
	c.droppedAt = now
	c.crashes = slices.DeleteFunc(c.crashes, func(k crashedTarget) bool { return now.Sub(k.at) > c.Retention })
	for digest, list := range c.attempts {
		if now.Sub(list[len(list)-1].crashedAt) > c.Retention {
			c.forget(digest)
		}
	}
}
