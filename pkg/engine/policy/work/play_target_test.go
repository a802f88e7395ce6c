package work_test

import (
	"math"
	"slices"
	"time"
)

// job is a request of a play.
type job struct {
	id      string
	arrival float64
	decider int
	// read and write are tokens, expected the tokens that deciders expect to be written; call is the time of a call in
	// seconds.
	read, write, expected, call float64

	target                       *server
	sent, first, end, writtenEnd float64
}

func (j *job) memory() float64 { return j.read + j.write }

// server models a target: it reads one prompt at a time, and while it reads, the steps of its other streams take five
// times as long. Calls only write, in steps of 1 ms that others do not lengthen.
type server struct {
	index    int
	name     string
	slowness float64
	slots    int
	calls    bool

	waiting, writing []*job
	reading          *job
	readLeft         float64
	// written is the number of steps of each stream since the start.
	written float64
	at      float64
	version int
	frozen  bool
}

const (
	readSeconds = 0.0002
	stepSeconds = 0.006
)

func (s *server) running() int {
	n := len(s.writing)
	if s.reading != nil {
		n++
	}
	return n
}

func (s *server) step() float64 {
	if s.calls {
		return 0.001 * s.slowness
	}
	step := stepSeconds * s.slowness * (1 + 0.003*float64(len(s.writing)))
	if s.reading != nil {
		step *= 5
	}
	return step
}

// advance brings the state to a time before which nothing ends.
func (s *server) advance(now float64) {
	elapsed := now - s.at
	s.at = now
	if s.frozen {
		return
	}
	s.written += elapsed / s.step()
	if s.reading != nil {
		s.readLeft -= elapsed / (readSeconds * s.slowness)
	}
}

// next returns the time until the next prompt is read or stream ends.
func (s *server) next() float64 {
	next := math.Inf(1)
	if s.frozen {
		return next
	}
	if s.reading != nil {
		next = s.readLeft * readSeconds * s.slowness
	}
	for _, j := range s.writing {
		next = min(next, (j.writtenEnd-s.written)*s.step())
	}
	return max(next, 0)
}

// settle starts and ends what is due and returns the jobs that got their first output and those that ended.
func (s *server) settle(now float64) (first, ended []*job) {
	const rest = 1e-6
	if s.reading != nil && s.readLeft <= rest {
		s.reading.first, s.reading.writtenEnd = now, s.written+s.reading.write
		s.writing = append(s.writing, s.reading)
		first = append(first, s.reading)
		s.reading = nil
	}
	s.writing = slices.DeleteFunc(s.writing, func(j *job) bool {
		if j.writtenEnd-s.written > rest {
			return false
		}
		j.end = now
		ended = append(ended, j)
		return true
	})
	for len(s.waiting) > 0 && s.running() < s.slots && s.reading == nil {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if s.calls {
			j.writtenEnd = s.written + j.call*1000
			s.writing = append(s.writing, j)
			continue
		}
		s.reading, s.readLeft = j, j.read
	}
	return first, ended
}

// writtenOf returns the tokens that a job has written.
func (s *server) writtenOf(j *job) float64 {
	if j.first == 0 || j.end > 0 {
		return 0
	}
	return j.write - (j.writtenEnd - s.written)
}

func (s *server) memory() float64 {
	sum := 0.0
	for _, list := range [][]*job{s.waiting, s.writing} {
		for _, j := range list {
			sum += j.memory()
		}
	}
	if s.reading != nil {
		sum += s.reading.memory()
	}
	return sum
}

var playStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func clock(s float64) time.Time { return playStart.Add(time.Duration(s * float64(time.Second))) }
