package usage

import (
	"slices"
	"time"
)

const (
	// ownReadings is the number of an instance's own readings of its wall clock whose median is used. At one reading
	// each half second, a jump that lasts for less than 32 s doesn't move the median once the readings are complete.
	ownReadings = 128
	// statementTTL is how long the last statements of an instance count, and statementCount their number.
	statementTTL   = 5 * time.Second
	statementCount = 4
	// minStatements is the number of clocks from which a median excludes one that jumps.
	minStatements = 3
	// maxRoundTrip is the round trip above which an acknowledgement is not used: the process was not run meanwhile.
	maxRoundTrip = 500 * time.Millisecond
	// sentClocks is the number of sent messages whose acknowledgement is recognised.
	sentClocks = 8
	// ownBound is the assumed bound of the error of a clock without others to compare it with. Wall clocks jump by some
	// two seconds.
	ownBound = 3 * time.Second
	// roundingBound bounds the error of times in whole milliseconds.
	roundingBound = time.Millisecond
	// driftDivisor is the age per unit of error of a clock that is not compared any more (100 parts per million).
	driftDivisor = 10_000
	// MaxInstances bounds the instances whose statements are kept.
	MaxInstances = 1000
)

// ClockSource says what an estimate is based on.
type ClockSource string

// The sources of an estimate.
const (
	// OwnClock is the median of own readings, Median that of the clocks of all instances, and Adopted the holder's.
	OwnClock ClockSource = "own"
	Median   ClockSource = "median"
	Adopted  ClockSource = "adopted"
)

// ClockEstimate estimates the offset between true time and a steady clock.
//
// Its error is at most:
//
//   - Median: that of the median clock, which is within half of the distance of the quartiles if less than half of the
//     clocks are wrong, and the time in which messages arrive.
//   - Adopted: the holder's error, half of the round trip, and the drift since (100 parts per million).
//   - OwnClock: 3 s.
type ClockEstimate struct {
	own        []time.Duration
	ownNext    int
	statements map[string]*clockStatements
	sent       [sentClocks]sentClock
	sentNext   int

	adopted      time.Duration
	adoptedAt    time.Time
	adoptedBound time.Duration
}

type clockStatements struct {
	offsets [statementCount]time.Duration
	next, n int
	wall    time.Time
	at      time.Time
}

type sentClock struct {
	millis int64
	at     time.Time
}

// ObserveOwn records a reading of the instance's own wall clock.
func (c *ClockEstimate) ObserveOwn(now, wall time.Time) {
	offset := wall.Sub(now)
	if len(c.own) < ownReadings {
		c.own = append(c.own, offset)
		return
	}
	c.own[c.ownNext] = offset
	c.ownNext = (c.ownNext + 1) % ownReadings
}

// ObserveStatement records the wall clock that an instance has stated in a message.
func (c *ClockEstimate) ObserveStatement(now time.Time, instance string, wall time.Time) {
	s := c.statements[instance]
	if s == nil {
		if c.expire(now); len(c.statements) >= MaxInstances {
			return
		}
		if c.statements == nil {
			c.statements = map[string]*clockStatements{}
		}
		s = &clockStatements{}
		c.statements[instance] = s
	}
	s.at = now
	if s.n > 0 && wall.Equal(s.wall) {
		// This is a further part of a message that was split.
		return
	}
	s.wall, s.offsets[s.next] = wall, wall.Sub(now)
	s.next, s.n = (s.next+1)%statementCount, min(s.n+1, statementCount)
}

func (c *ClockEstimate) expire(now time.Time) {
	for instance, s := range c.statements {
		if now.Sub(s.at) > statementTTL {
			delete(c.statements, instance)
		}
	}
}

// RecordSent records that a message with the wall clock's time was sent.
func (c *ClockEstimate) RecordSent(now time.Time, wallMillis int64) {
	c.sent[c.sentNext] = sentClock{millis: wallMillis, at: now}
	c.sentNext = (c.sentNext + 1) % sentClocks
}

// Adopt records the holder's statement of true time in the answer to a message, and reports whether it is usable.
func (c *ClockEstimate) Adopt(now time.Time, ack *Acknowledgement) bool {
	roundTrip := time.Duration(-1)
	for _, s := range c.sent {
		if s.millis == ack.EchoMillis && !s.at.IsZero() {
			// A clock that jumped back states a time twice; the earlier message gives the larger bound.
			roundTrip = max(roundTrip, now.Sub(s.at))
		}
	}
	if roundTrip < 0 || roundTrip > maxRoundTrip {
		return false
	}
	c.adopted = time.UnixMilli(ack.TrueMillis).Add(roundTrip / 2).Sub(now)
	c.adoptedAt = now
	c.adoptedBound = time.Duration(ack.BoundMillis)*time.Millisecond + roundTrip/2 + roundingBound
	return true
}

// Estimate is an estimate of the offset of true time at one moment.
type Estimate struct {
	Offset time.Duration
	Bound  time.Duration
	Source ClockSource
}

// At returns the true time of a steady time.
func (e *Estimate) At(now time.Time) time.Time { return now.Add(e.Offset) }

// Estimate returns the present estimate. The holder states true time to others, and so uses the median of all clocks; the
// others use what the holder states.
func (c *ClockEstimate) Estimate(now time.Time, holding bool) Estimate {
	c.expire(now)
	hasMedian, hasAdopted := len(c.statements) >= minStatements, !c.adoptedAt.IsZero()
	if hasMedian && (holding || !hasAdopted) {
		return c.medianOfAll()
	}
	if hasAdopted {
		drift := max(now.Sub(c.adoptedAt), 0) / driftDivisor
		return Estimate{Offset: c.adopted, Bound: c.adoptedBound + drift, Source: Adopted}
	}
	if len(c.own) == 0 {
		return Estimate{Bound: ownBound, Source: OwnClock}
	}
	return Estimate{Offset: median(slices.Clone(c.own)), Bound: ownBound, Source: OwnClock}
}

func (c *ClockEstimate) medianOfAll() Estimate {
	offsets := make([]time.Duration, 0, len(c.statements))
	for _, s := range c.statements {
		// The one of the largest offset was delayed least. Messages that waited while this process was not run would
		// otherwise move all offsets at once.
		offsets = append(offsets, slices.Max(s.offsets[:s.n]))
	}
	m := median(offsets)
	spread := offsets[len(offsets)*3/4] - offsets[len(offsets)/4]
	return Estimate{Offset: m, Bound: spread/2 + roundingBound, Source: Median}
}

// median sorts a list that is not empty and returns its median.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	n := len(list)
	return list[(n-1)/2] + (list[n/2]-list[(n-1)/2])/2
}
