package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
)

// TestLagCountsFromFirstMissingRevision guards against a lag that each further revision
// resets to zero, and against a lag that a lagging instance itself cannot detect.
func TestLagCountsFromFirstMissingRevision(t *testing.T) {
	t0 := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// seen holds the revisions that reach the queried instance at 0, 10, 20... s.
		seen []int64
		// has and age are the revisions and ages that the two members report.
		has  [2]int64
		age  [2]time.Duration
		want [2]int64
	}{
		"none lags":           {[]int64{1, 2}, [2]int64{2, 2}, [2]time.Duration{}, [2]int64{0, 0}},
		"by two revisions":    {[]int64{1, 2, 3}, [2]int64{1, 3}, [2]time.Duration{}, [2]int64{20_000, 0}},
		"by one revision":     {[]int64{1, 2, 3}, [2]int64{2, 3}, [2]time.Duration{}, [2]int64{10_000, 0}},
		"seen by others only": {[]int64{1}, [2]int64{1, 2}, [2]time.Duration{0, 12 * time.Second}, [2]int64{12_000, 0}},
		"repeated":            {[]int64{1, 2, 2}, [2]int64{1, 2}, [2]time.Duration{}, [2]int64{20_000, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Server{Board: blackboard.New()}
			for i, r := range c.seen {
				s.recordArrival(t0.Add(time.Duration(i)*10*time.Second), r)
			}
			now := t0.Add(30 * time.Second)
			if name == "by one revision" || name == "by two revisions" {
				require.Equal(t, 10*time.Second, s.revisionAge(now))
			}
			st := Status{Members: make([]MemberStatus, 2)}
			for i := range st.Members {
				st.Members[i].Revision, st.Members[i].revisionAge = &c.has[i], c.age[i]
			}
			s.computeLags(now, &st)
			for i := range st.Members {
				require.Equal(t, c.want[i], st.Members[i].LagMillis)
			}
		})
	}
}
