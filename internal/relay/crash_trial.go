package relay

import (
	"maps"
	"slices"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/timeline"
)

// The states of callerRequest.trial.
const (
	// trialAdmitted is the state of a request that may run although it, or a part of its prompt, is refused, and trialEnded that once
	// an attempt has ended.
	trialAdmitted int32 = iota + 1
	trialEnded
)

// maxOwnTrials bounds the trials that are repeated to the other instances.
const maxOwnTrials = 64

// admit returns the refusal of a request that has arrived, or nil. At times it lets one through that would be refused, to test whether
// it still crashes its target.
func (c *CrashTracker) admit(now time.Time, req *callerRequest) *Refusal {
	refusal := c.refusal(now, req)
	if refusal == nil {
		return nil
	}
	if c.beginTrial(now, req, refusal) {
		req.trial.Store(trialAdmitted)
		return nil
	}
	if refusal.Code == codeCrashes {
		c.reportRefusal(now, req.digest())
	}
	return refusal
}

// beginTrial reports whether a request that is refused may run, and broadcasts that it does.
func (c *CrashTracker) beginTrial(now time.Time, req *callerRequest, refusal *Refusal) bool {
	key := refusal.Part
	if key == "" {
		key = req.digest()
	}
	rank := 0
	if c.Rank != nil {
		rank = c.Rank(key)
	}
	message, begins := crashMessage{}, false
	withLock(&c.mu, func() {
		if refusal.Part == "" {
			if begins = c.counter.BeginTrial(now, key, rank); begins {
				c.ownTrials = append(c.ownTrials[max(len(c.ownTrials)-maxOwnTrials+1, 0):], key)
			}
			message = crashMessage{Digest: key, trialMessage: newTrialMessage(now, c.counter.Trials(key))}
			return
		}
		begins = c.parts.detector.BeginTrial(now, key, rank)
		c.parts.init()
		c.parts.own[key] = c.parts.own[key] || begins
		if m, ok := c.parts.detector.Marked(now, req.sharedParts()); ok {
			message.Marks = []markMessage{newMarkMessage(now, &m)}
		}
	})
	if !begins {
		return false
	}
	c.broadcast(&message)
	if c.Log != nil {
		c.Log.Write(now, timeline.Event{Kind: "mark_trial", Request: req.ID, Why: refusal.Code, Decision: "run " + key})
	}
	return true
}

// repeatTrials rebroadcasts the trials of requests that this instance began within markRepeatTime.
func (c *CrashTracker) repeatTrials(now time.Time) {
	var messages []crashMessage
	withLock(&c.mu, func() {
		c.ownTrials = slices.DeleteFunc(c.ownTrials, func(digest string) bool { return now.Sub(c.counter.Trials(digest).LastAt) >= markRepeatTime })
		for _, digest := range c.ownTrials {
			messages = append(messages, crashMessage{Digest: digest, trialMessage: newTrialMessage(now, c.counter.Trials(digest))})
		}
	})
	for i := range messages {
		c.broadcast(&messages[i])
	}
}

// reportRefusal broadcasts, once in refusalReportInterval, the crashes for which a request is refused.
func (c *CrashTracker) reportRefusal(now time.Time, digest string) {
	var crashes []booking.CountedCrash
	var trials booking.Trials
	withLock(&c.mu, func() {
		if last, ok := c.refusalReports[digest]; ok && now.Sub(last) < refusalReportInterval {
			return
		}
		if c.refusalReports == nil {
			c.refusalReports = map[string]time.Time{}
		}
		maps.DeleteFunc(c.refusalReports, func(_ string, at time.Time) bool { return now.Sub(at) >= refusalReportInterval })
		c.refusalReports[digest] = now
		crashes, trials = c.counter.CountedCrashes(digest), c.counter.Trials(digest)
	})
	for _, crash := range crashes {
		c.broadcast(&crashMessage{
			Digest: digest, Certain: true, Target: crash.Target,
			AgeMillis: now.Sub(crash.At).Milliseconds(), AttemptAgeMillis: now.Sub(crash.StartedAt).Milliseconds(),
		})
	}
	if len(crashes) > 0 && trials.Count > 0 {
		c.broadcast(&crashMessage{Digest: digest, trialMessage: newTrialMessage(now, trials)})
	}
}

// endTrial ends the trial of a request with its first attempt that reached a target.
func (a *attempt) endTrial() {
	if a.sent {
		a.req.trial.CompareAndSwap(trialAdmitted, trialEnded)
	}
}
