package version_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bambooferry.example/bambooferry/pkg/version"
)

// TestReportsRoundTrip guards against counts that are altered by encoding and decoding.
func TestReportsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []version.Report
		for range rapid.IntRange(0, 3).Draw(t, "reports") {
			r := version.Report{ChangeID: rapid.Uint64().Draw(t, "change")}
			for range rapid.IntRange(0, version.MaxRoutes).Draw(t, "rows") {
				n := rapid.Uint32().Draw(t, "n")
				r.Routes = append(r.Routes, version.RouteCounts{
					Route: rapid.StringOfN(rapid.RuneFrom([]rune("/v1|c")), 0, 12, -1).Draw(t, "route"),
					Old:   version.Counts{Requests: n, Failed: n / 2}, New: version.Counts{Requests: n / 3, FirstTokens: n, SlowFirstTokens: n, TokenIntervals: 7},
				})
			}
			list = append(list, r)
		}
		data := version.AppendReports(nil, list)
		got, err := version.DecodeReports(data)
		require.NoError(t, err)
		require.Equal(t, list, got)
	})
}

// TestRouteNamesAreSentOnce guards against counts that are assigned to another route when names are
// omitted, and against a receiver that lost the names and does not report it.
func TestRouteNamesAreSentOnce(t *testing.T) {
	list := []version.Report{{ChangeID: 7, Routes: []version.RouteCounts{
		{Route: "/v1/completions|c1", New: version.Counts{Requests: 300, Failed: 1, FirstTokens: 301, TokenIntervals: 2}},
		{Route: "/v1/completions|c2", Old: version.Counts{Requests: 2}},
	}}}
	sender, receiver := version.RouteDictionary{}, version.RouteDictionary{}
	first, again := sender.AppendReports(nil, list), sender.AppendReports(nil, list)
	require.Less(t, len(again), len(first))
	for _, data := range [][]byte{first, again} {
		got, missing, err := receiver.DecodeReports(data)
		require.NoError(t, err)
		require.False(t, missing)
		require.Equal(t, list, got)
	}
	got, missing, err := (&version.RouteDictionary{}).DecodeReports(again)
	require.NoError(t, err)
	require.True(t, missing)
	require.Equal(t, version.OtherRoute, got[0].Routes[0].Route)
	require.Equal(t, list[0].Routes[0].New, got[0].Routes[0].New, "the counts must not be lost")
	sender.Reset()
	require.Equal(t, first, sender.AppendReports(nil, list))
}

// TestReportIsBounded guards against reports of unbounded size: routes are derived from callers' requests.
func TestReportIsBounded(t *testing.T) {
	p := version.Plan{ID: 1, From: "v1", To: "v2"}
	c := version.NewCounter(p)
	for i := range 1000 {
		c.Add(start, version.Result{Version: "v1", Route: strings.Repeat("r", 100) + string(rune('a'+i%26)), Ended: true})
		c.Add(start, version.Result{Version: "v2", Route: strings.Repeat(string(rune('a'+i%26)), i%50), Ended: true})
	}
	r := c.TakeReport()
	require.LessOrEqual(t, len(r.Routes), version.MaxRoutes)
	require.Less(t, len(version.AppendReports(nil, []version.Report{r})), 1500)
	require.Empty(t, c.TakeReport().Routes, "taken counts must not be counted again")
}

// TestCrashCountsOnce guards against a single crash that is counted as many failures of the version.
func TestCrashCountsOnce(t *testing.T) {
	c := version.NewCounter(version.Plan{ID: 1, From: "v1", To: "v2"})
	for range 8 {
		c.Add(start, version.Result{Version: "v2", Route: "r", LostTarget: "engine-1", Ended: true, Failed: true})
	}
	c.Add(start.Add(time.Second), version.Result{Version: "v2", Route: "r", LostTarget: "engine-1", Ended: true, Failed: true})
	require.Equal(t, version.Counts{Requests: 2, Failed: 2}, c.TakeReport().Routes[0].New)
}

// TestRoutesToNewIsStable guards against requests that go back to the old version when the share grows.
func TestRoutesToNewIsStable(t *testing.T) {
	n := 0
	for i := range 10_000 {
		id := time.Duration(i).String()
		small, large := version.RoutesToNew(3, 0.1, id), version.RoutesToNew(3, 0.3, id)
		require.False(t, small && !large)
		if small {
			n++
		}
		require.False(t, version.RoutesToNew(3, 0, id))
		require.True(t, version.RoutesToNew(3, 1, id))
	}
	require.InDelta(t, 1000, n, 120)
}

func FuzzDecodeReports(f *testing.F) {
	f.Add(version.AppendReports(nil, []version.Report{{ChangeID: 1, Routes: []version.RouteCounts{{Route: "a", New: version.Counts{Requests: 300, Failed: 3}}}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := version.DecodeReports(data)
		if err != nil {
			return
		}
		again, err := version.DecodeReports(version.AppendReports(nil, list))
		require.NoError(t, err)
		require.Equal(t, list, again)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	c := version.NewChange(start, version.Plan{ID: 1, Entry: "e", From: "v1", To: "v2"}, version.DefaultLimits())
	f.Add(c.Record.Encode())
	f.Add([]byte(`{"format":1,"share":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := version.DecodeRecord(data)
		if err != nil {
			return
		}
		_, err = version.DecodeRecord(r.Encode())
		require.NoError(t, err)
	})
}
