package rollout

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/version"
)

// recordOf31acda8 is the record as the build 31acda8 decodes it.
type recordOf31acda8 struct {
	Order         Order           `json:"order"`
	Number        int64           `json:"number"`
	OrderEra      int64           `json:"order_era"`
	OrderRevision int64           `json:"order_revision"`
	Change        json.RawMessage `json:"change"`
	Updated       time.Time       `json:"updated"`
	Capped        bool            `json:"capped,omitempty"`
	Barred        []string        `json:"barred,omitempty"`
}

// TestRecordIsReadByFormerBuild guards against a record that the former build, which decodes the change strictly, can't read.
func TestRecordIsReadByFormerBuild(t *testing.T) {
	r := &record{
		Order: Order{Pool: testPool, Version: "v2", Interval: testInterval}, Number: 3, Sequence: 7, Confirmed: true, Updated: t0, Barred: []string{"v1"},
		Change: version.NewChange(t0, version.Plan{ID: 5, Entry: testPool, From: formerVersion, To: "v2", Deadline: t0}, version.DefaultLimits()).Record,
	}
	former := recordOf31acda8{}
	require.NoError(t, json.Unmarshal(r.encode(), &former))
	require.Equal(t, r.Number, former.Number)
	require.Equal(t, r.Order, former.Order)
	c, err := version.DecodeRecord(former.Change)
	require.NoError(t, err, "the change has no field that is new")
	require.Equal(t, r.Change, c)

	data, err := json.Marshal(former)
	require.NoError(t, err)
	again, err := decodeRecord(data)
	require.NoError(t, err)
	require.Zero(t, again.Sequence)
	require.False(t, again.Confirmed)
	require.Equal(t, r.Change, again.Change)
}

// TestMessages guards against messages that are read otherwise than they were written, and against malformed ones.
func TestMessages(t *testing.T) {
	in := &report{
		sender: netip.MustParseAddrPort("10.1.2.3:7200"), incarnation: -5, sentAt: 3 * time.Second, bad: true, countedFor: 2 * time.Second, sent: 300, exposed: 7,
		results: version.Report{ChangeID: 9, Routes: []version.RouteCounts{{Route: "a", New: version.Counts{Requests: 3, Failed: 1}}}},
	}
	out, err := decodeReport(in.encode())
	require.NoError(t, err)
	require.Equal(t, in, out)
	answer := &confirmation{change: 9, incarnation: -5, sentAt: 3 * time.Second, bad: true}
	got, err := decodeConfirmation(answer.encode())
	require.NoError(t, err)
	require.Equal(t, answer, got)
	for n := range in.encode() {
		_, err := decodeReport(in.encode()[:n])
		require.Error(t, err, n)
	}
}

// TestReportFitsIntoDatagram guards against evidence that is never sent since the counts of all routes are too long.
func TestReportFitsIntoDatagram(t *testing.T) {
	const maxDatagram = 1400
	c := version.NewCounter(version.Plan{ID: 1, From: formerVersion, To: "v2"})
	for i := range 40 {
		route := shortRoute(string(rune('a'+i)) + "-a-route-with-a-name-that-is-much-too-long-for-a-datagram")
		require.LessOrEqual(t, len(route), maxRouteName)
		c.Add(t0, version.Result{Version: "v2", Route: route, Ended: true})
	}
	r := &report{sender: netip.MustParseAddrPort("[2001:db8:1:2:3:4:5:6]:65535"), results: c.TakeReport(), sent: maxCount, exposed: maxCount}
	for i := range r.results.Routes {
		r.results.Routes[i].Old = version.Counts{Requests: 1e6, Failed: 1e5, FirstTokens: 1e6, SlowFirstTokens: 1e5, TokenIntervals: 1e6, SlowTokenIntervals: 1e5}
		r.results.Routes[i].New = r.results.Routes[i].Old
	}
	require.Less(t, len(r.encode()), maxDatagram)
}

func FuzzDecodeReport(f *testing.F) {
	in := &report{sender: netip.MustParseAddrPort("10.1.2.3:7200"), results: version.Report{ChangeID: 9, Routes: []version.RouteCounts{{Route: "a", New: version.Counts{Requests: 3}}}}}
	f.Add(in.encode())
	f.Add([]byte{messageFormat, 0, 255})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeReport(data)
		_, _ = decodeConfirmation(data)
	})
}

// FuzzDecodeRecord guards against a record of another writer that ends the process or gives a version more than all requests.
func FuzzDecodeRecord(f *testing.F) {
	r := &record{
		Order: Order{Pool: testPool, Version: "v2", Interval: testInterval}, Number: 3,
		Change: version.NewChange(t0, version.Plan{ID: 5, Entry: testPool, From: formerVersion, To: "v2", Deadline: t0}, version.DefaultLimits()).Record,
	}
	f.Add(r.encode())
	f.Add([]byte(`{"order":{"interval":1e300}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil {
			s := r.split()
			require.True(t, s.Share >= 0 && s.Share <= 1)
		}
	})
}

// TestEndOfIntervalIsReadFromFormerRecord guards against an order that is decided late since all instances restart.
func TestEndOfIntervalIsReadFromFormerRecord(t *testing.T) {
	const interval = 20 * time.Second
	f := newFleet(t, 21, 3, 120)
	f.result = func(string, string, time.Duration) (bool, time.Duration) { return f.good() }
	f.run(8 * time.Second)
	f.order(testPool, "v2", interval)
	f.run(500 * time.Millisecond)
	f.slots[testPool]["v2"] = 30
	f.run(3 * time.Second)
	r, err := decodeRecord(f.items["records/"+testPool].Value)
	require.NoError(t, err)
	// The build 31acda8 reserves 3 s for the steps after the deadline.
	require.WithinDuration(t, f.orderedAt.Add(interval-3*time.Second), r.Change.Deadline, tickTime)
	for i := range f.members {
		f.run(2 * time.Second)
		f.restart(i)
	}
	f.run(f.orderedAt.Add(interval).Sub(f.now))
	require.Equal(t, "succeeded v2", f.lastStatus(), "%v", f.statuses)
}
