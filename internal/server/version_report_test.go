package server_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/version"
)

// encodedSize returns the bytes of the second call and its reply on a connection, without and with the
// headers of TLS and TCP: 22 and 52 bytes for each message, and 52 for an acknowledgement.
func encodedSize(in, out any) (size, withHeaders int) {
	var b bytes.Buffer
	enc, first := gob.NewEncoder(&b), 0
	for range 2 {
		first = b.Len()
		_ = enc.Encode(rpc.Request{ServiceMethod: "Versions.Report", Seq: 1 << 20})
		_ = enc.Encode(in)
		_ = enc.Encode(rpc.Response{ServiceMethod: "Versions.Report", Seq: 1 << 20})
		_ = enc.Encode(out)
	}
	return b.Len() - first, b.Len() - first + 2*(22+52) + 52
}

// maxEvidenceBytes is the stated bound on the evidence that an instance sends and receives, in bytes a second.
const maxEvidenceBytes = 5000

// TestEvidenceTraffic checks that an instance uses less than 5 KB/s for evidence at 420
// instances, headers included, with one change of which four or all routes are busy. With
// few instances it checks that evidence and records stay under the 25 KB/s for all control traffic.
func TestEvidenceTraffic(t *testing.T) {
	for _, routes := range []int{4, version.MaxRoutes} {
		r := version.Report{ChangeID: 1 << 60}
		for i := range routes {
			c := version.Counts{Requests: 200, Failed: 1, FirstTokens: 200, SlowFirstTokens: 20, TokenIntervals: 200, SlowTokenIntervals: 20}
			r.Routes = append(r.Routes, version.RouteCounts{Route: fmt.Sprintf("/v1/chat/completions|scot-central-%d", i), Old: c, New: c})
		}
		names := version.RouteDictionary{}
		names.AppendReports(nil, []version.Report{r})
		size, full := encodedSize(server.VersionsReport{Evidence: names.AppendReports(nil, []version.Report{r}), Versions: []int64{1000}, Final: true},
			server.VersionsReply{Ages: []int64{300}, Next: 900})
		for _, n := range []struct {
			instances int
			perSecond int
			target    int
		}{{9, 4, 25_000}, {20, 1, maxEvidenceBytes}, {100, 1, maxEvidenceBytes}, {420, 1, maxEvidenceBytes}} {
			live := testMembers(n.instances)
			calls, levels := reportCalls(live)
			most := 0
			for _, c := range calls {
				most = max(most, c)
			}
			records := recordBytes(t, n.instances)
			t.Logf("%d instances, %d routes: a call and its answer %d bytes, %d with headers; most calls of an instance %d a period on %d levels: %d B/s, %d with headers; records %d B/s",
				n.instances, routes, size, full, most, levels, size*most*n.perSecond, full*most*n.perSecond, records)
			used := full
			if n.target != maxEvidenceBytes {
				used = size
			}
			require.Less(t, used*most*n.perSecond+records, n.target)
		}
	}
}

// recordBytes returns the bytes a second for the record of a change at a collector, which
// receives it once and sends it to each instance that reports to it.
func recordBytes(t *testing.T, instances int) int {
	t.Helper()
	r := version.NewChange(time.Now(), version.Plan{ID: 1 << 60, Entry: "ferry-llm", From: "v1", To: "v2", LargestShare: 0.1}, version.DefaultLimits()).Record
	r.TrialStart, r.Old, r.New, r.AcceptLogOdds = r.StateStart, version.Counts{Requests: 100_000, FirstTokens: 100_000, TokenIntervals: 100_000}, version.Counts{Requests: 10_000}, [3]float64{1.0 / 3, 1.0 / 3, 1.0 / 3}
	r.Route, r.Kind, r.Decider = "/v1/chat/completions|scot-central-1", "slow_first", "instance-100"
	size := len(r.Encode())
	if instances < 17 {
		// The decider sends the record to each member once a second.
		return size * (instances - 1)
	}
	return size * 6 / 10
}

func testMembers(n int) []instance.Member {
	var live []instance.Member
	for i := range n {
		live = append(live, instance.Member{ID: fmt.Sprintf("instance-%d", i), State: instance.Alive})
	}
	return live
}

// reportCalls returns the number of calls that each instance makes and receives in an interval, and the
// maximum number of calls on the way of evidence to a candidate.
func reportCalls(live []instance.Member) (calls map[string]int, levels int) {
	calls = map[string]int{}
	up, last := map[string]string{}, map[string]bool{}
	for _, m := range live {
		to, final := server.ReportDestinations(live, m.ID)
		last[m.ID], up[m.ID] = final, to[0].ID
		for _, d := range to {
			if d.ID != m.ID {
				calls[m.ID]++
				calls[d.ID]++
			}
		}
	}
	for _, m := range live {
		n, at := 1, m.ID
		for ; !last[at] && n <= len(live); n++ {
			at = up[at]
		}
		levels = max(levels, n)
	}
	return calls, levels
}

// TestReportTreeReachesCandidates guards against instances whose evidence reaches no candidate,
// or passes more levels than the time limit for reacting to a mark allows.
func TestReportTreeReachesCandidates(t *testing.T) {
	for n := 1; n <= 500; n += 7 {
		_, levels := reportCalls(testMembers(n))
		require.LessOrEqual(t, levels, 4, "%d instances", n)
	}
}
