package scaling

import "time"

// subject is a pool in one data centre, for which orders are made.
type subject struct {
	// decided is the number that is wanted now. It is that of the present targets while assumed is set: then nothing has
	// been decided here, and an earlier holder's orders are not known.
	decided int
	assumed bool
	why     string
	// accepted is the number that was last accepted by the platform, if known is set.
	accepted int
	known    bool
	// uncertain is the last order without an answer, which may still be executed.
	uncertain uncertain
	// wanted is the number needed now within the limits.
	wanted  int
	present int
	// presentAt is when targets were last present, and loweredAt when the number was last lowered.
	presentAt time.Time
	loweredAt time.Time
	// lowered is set if the last decision was for less.
	lowered bool
}

// uncertain is an order without an answer; its token is 0 if there is none.
type uncertain struct {
	token   int64
	desired int
}

func (s *subject) decide(n int, why string) {
	s.decided, s.why, s.assumed, s.lowered = n, why, false, false
}

func (s *subject) lower(now time.Time, n int, why string) {
	s.decide(n, why)
	s.loweredAt, s.lowered = now, true
}

// pending reports whether an order has to be made.
func (s *subject) pending() bool {
	return !s.assumed && (!s.known || s.accepted != s.decided)
}

// above returns the token that the next order's must exceed.
func (s *subject) above() int64 {
	if s.uncertain.token != 0 && s.uncertain.desired != s.decided {
		return s.uncertain.token
	}
	return 0
}

// RecordAccepted records that the platform has accepted an order under a token. An earlier one without an answer can no
// longer be executed if its token was lower.
func (p *Plan) RecordAccepted(o Order, token int64) {
	s := p.subjects[o.DataCentre]
	if s == nil {
		return
	}
	s.accepted, s.known = o.Desired, true
	if token > s.uncertain.token {
		s.uncertain = uncertain{}
	}
}

// RecordUnanswered records that an order under a token got no answer, so that it may still be executed.
func (p *Plan) RecordUnanswered(o Order, token int64) {
	if s := p.subjects[o.DataCentre]; s != nil {
		s.known = false
		s.uncertain = uncertain{token: token, desired: o.Desired}
	}
}
