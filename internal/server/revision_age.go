package server

import (
	"time"

	"bambooferry.example/bambooferry/pkg/blackboard"
)

// maxArrivals is the number of revisions whose arrival times are kept, so that the lag of
// an instance that misses several revisions is counted from the first one it misses.
const maxArrivals = 64

// arrival records when a revision came into force on this instance.
type arrival struct {
	revision int64
	at       time.Time
}

// arrivals is the blackboard key of the latest arrivals, newest first.
var arrivals = blackboard.Key[[]arrival]{Name: "catalogue-arrivals"}

func (s *Server) recordArrival(now time.Time, revision int64) {
	arrivals.Update(s.Board, func(old []arrival, _ bool) ([]arrival, bool) {
		if len(old) > 0 && revision <= old[0].revision {
			return old, false
		}
		list := append([]arrival{{revision, now}}, old...)
		return list[:min(len(list), maxArrivals)], true
	})
}

// revisionAge returns how long the current revision has been in force.
func (s *Server) revisionAge(now time.Time) time.Duration {
	return s.oldestAgeAbove(now, -1, 1)
}

// oldestAgeAbove returns the age of the oldest revision above the given one, among the newest n.
func (s *Server) oldestAgeAbove(now time.Time, revision int64, n int) time.Duration {
	list, _ := arrivals.Get(s.Board)
	age := time.Duration(0)
	for _, a := range list[:min(len(list), n)] {
		if a.revision > revision {
			age = max(now.Sub(a.at), 0)
		}
	}
	return age
}
