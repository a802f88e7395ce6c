package route

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testTable() *Table {
	routes := []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Kind: Repeatable, PoolWeights: []PoolWeight{{Pool: "p", Weight: 1}}},
		{Name: "long", Host: "A.example", Prefix: "/x/y/", Kind: Once, PoolWeights: []PoolWeight{{Pool: "p", Weight: 90}, {Pool: "q", Weight: 10}}},
		{Name: "open", Host: "b.example", Prefix: "/", Kind: Streaming, Public: true},
	}
	return NewTable(7, Limits{}, routes, []Pool{{Name: "p"}, {Name: "q"}}, map[string]*Workspace{"key": {Name: "w"}})
}

// Guards against requests that are served by another route's targets.
func TestMatch(t *testing.T) {
	for name, c := range map[string]struct{ host, path, want string }{
		"longest prefix":         {"a.example", "/x/y/z", "long"},
		"shorter prefix":         {"a.example", "/x/yz", "short"},
		"prefix without slash":   {"a.example", "/x", ""},
		"port and case":          {"A.EXAMPLE:8080", "/x/1", "short"},
		"other host":             {"c.example", "/x/1", ""},
		"encoded slash stays":    {"a.example", "/x%2fy/", ""},
		"all paths of a host":    {"b.example", "/any", "open"},
		"dots are not resolved":  {"a.example", "/x/../b", "short"},
		"double slashes are not": {"a.example", "//x/y/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, ok := testTable().Match(c.host, c.path)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, r.Name)
			}
		})
	}
}

// Guards against a route that accepts requests without a known key, and against public routes that
// require one.
func TestRequiresKey(t *testing.T) {
	table := testTable()
	long, _ := table.Match("a.example", "/x/y/")
	open, _ := table.Match("b.example", "/")
	require.True(t, table.RequiresKey(long))
	require.False(t, table.RequiresKey(open))
	_, ok := table.WorkspaceForKey("other")
	require.False(t, ok)
	require.False(t, NewTable(1, Limits{}, []Route{*long}, nil, nil).RequiresKey(long))
}

// Guards against traffic shares that do not follow the weights.
func TestPickPoolFollowsWeights(t *testing.T) {
	long, _ := testTable().Match("a.example", "/x/y/")
	counts := map[string]int{}
	for n := range uint64(1000) {
		counts[long.PickPool(n)]++
	}
	require.Equal(t, map[string]int{"p": 900, "q": 100}, counts)
	require.Empty(t, (&Route{}).PickPool(3))
}

func testTarget(id, address string, startedAfter time.Duration) Target {
	return Target{ID: id, Pool: "p", Address: netip.MustParseAddrPort(address), StartedAt: t0.Add(startedAfter)}
}

// Guards against requests to a target that has ended, and against dropping all targets after an
// outage.
func TestTargetSetAfterOutage(t *testing.T) {
	set := TargetSet{}
	set.Put(t0, testTarget("a", "10.0.0.1:1", 0))
	set.Put(t0, testTarget("b", "10.0.0.2:1", 0))
	set.Remove(t0, "a")
	require.Equal(t, 1, set.Len(), "without an outage, a removed entry must be dropped immediately")

	set.Put(t0, testTarget("c", "10.0.0.3:1", 0))
	set.SourceRecovered(t0.Add(time.Second))
	require.True(t, set.Remove(t0.Add(1005*time.Millisecond), "b"))
	require.True(t, set.Remove(t0.Add(1100*time.Millisecond), "c"))
	require.Equal(t, t0.Add(1100*time.Millisecond+lateRemovalGrace), set.RemoveExpired(t0.Add(2*time.Second)))
	require.Equal(t, 2, set.Len(), "the entries may only have expired during the outage")
	require.Equal(t, t0.Add(time.Second+OutageRemovalGrace), set.RemoveExpired(t0.Add(1100*time.Millisecond+lateRemovalGrace)))
	require.Equal(t, 1, set.Len(), "a removal after the recovery may be intentional")
	set.RemoveExpired(t0.Add(time.Second + OutageRemovalGrace))
	require.Zero(t, set.Len())
	set.Put(t0, testTarget("d", "10.0.0.4:1", 0))
	require.False(t, set.Remove(t0.Add(time.Second+OutageRemovalGrace), "d"))
}

// Guards against losing a target whose entry is written again in time.
func TestTargetSetKeepsReturningEntries(t *testing.T) {
	r := TargetSet{}
	r.Put(t0, testTarget("a", "10.0.0.1:1", 0))
	r.SourceRecovered(t0)
	r.RemoveUnlisted(t0, func(string) bool { return false })
	require.False(t, r.Put(t0, testTarget("a", "10.0.0.1:1", 0)))
	require.True(t, r.RemoveExpired(t0.Add(time.Minute)).IsZero())
	require.Equal(t, 1, r.Len())
}

// Guards against requests to the former incarnation at an address that is reused.
func TestTargetSetReturnsTheLaterIncarnation(t *testing.T) {
	r := TargetSet{}
	r.Put(t0, testTarget("z-old", "10.0.0.1:1", 0))
	r.Put(t0, testTarget("a-new", "10.0.0.1:1", time.Second))
	require.Equal(t, map[string][]Target{"p": {testTarget("a-new", "10.0.0.1:1", time.Second)}}, r.Targets())
}

// Guards against new requests to a target that is leaving, because a restored source lists an earlier
// state of it.
func TestLeavingTargetStaysLeavingAfterRestore(t *testing.T) {
	leaving := testTarget("a", "10.0.0.1:1", 0)
	leaving.Leaving = true
	for name, c := range map[string]struct {
		before func(s *TargetSet)
		entry  Target
		want   bool
	}{
		"listed as leaving before": {func(s *TargetSet) { s.Put(t0, leaving) }, testTarget("a", "10.0.0.1:1", 0), true},
		"left and was removed":     {func(s *TargetSet) { s.Put(t0, leaving); s.Remove(t0, "a") }, testTarget("a", "10.0.0.1:1", 0), true},
		"next incarnation":         {func(s *TargetSet) { s.Put(t0, leaving) }, testTarget("a", "10.0.0.1:1", time.Second), false},
		"removed, next incarnation": {
			func(s *TargetSet) { s.Put(t0, leaving); s.Remove(t0, "a") },
			testTarget("a", "10.0.0.1:1", time.Second), false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &TargetSet{}
			c.before(s)
			s.SourceRestored(t0.Add(time.Second))
			s.Put(t0.Add(time.Second), c.entry)
			for _, at := range []time.Duration{time.Second, time.Minute} {
				s.RemoveExpired(t0.Add(at))
				require.Equal(t, c.want, s.Targets()["p"][0].Leaving, at)
			}
		})
	}
}

// Guards against requests to a target that ended without notice and that only a restored source still
// lists, and against never using one again that is there.
func TestRemovedTargetIsDoubtfulAfterRestore(t *testing.T) {
	s := &TargetSet{}
	a := testTarget("a", "10.0.0.1:1", 0)
	s.Put(t0, a)
	s.Remove(t0.Add(time.Second), "a")
	restored := t0.Add(2 * time.Second)
	s.SourceRestored(restored)
	s.Put(restored, a)
	next := s.RemoveExpired(restored)
	require.Equal(t, restored.Add(restoredEntryGrace), next)
	require.True(t, s.Targets()["p"][0].Leaving)
	s.Put(restored.Add(time.Second), a)
	require.True(t, s.Targets()["p"][0].Leaving, "the same entry, read again, says nothing new")
	changed := a
	changed.Slots = 9
	s.Put(restored.Add(time.Second), changed)
	require.False(t, s.Targets()["p"][0].Leaving, "the target has written its entry again")

	s.Remove(restored.Add(20*time.Second), "a")
	again := restored.Add(21 * time.Second)
	s.SourceRestored(again)
	s.Put(again, a)
	require.True(t, s.RemoveExpired(again.Add(restoredEntryGrace)).IsZero())
	require.False(t, s.Targets()["p"][0].Leaving, "the entry of a target that is gone would have expired")
}

// Guards against an entry of a former incarnation that replaces the present one's.
func TestEntryOfFormerIncarnationIsIgnored(t *testing.T) {
	s := &TargetSet{}
	s.Put(t0, testTarget("a", "10.0.0.1:1", time.Second))
	require.False(t, s.Put(t0, testTarget("a", "10.0.0.2:1", 0)))
	require.Equal(t, "10.0.0.1:1", s.Targets()["p"][0].Address.String())
}

// Guards against dropping the targets that a restored source lacks before they can be written again.
func TestTargetsMissingAfterRestoreAreKept(t *testing.T) {
	s := &TargetSet{}
	s.Put(t0, testTarget("a", "10.0.0.1:1", 0))
	s.SourceRestored(t0.Add(time.Second))
	s.RemoveUnlisted(t0.Add(time.Second), func(string) bool { return false })
	require.Equal(t, 1, s.Len())
	s.RemoveExpired(t0.Add(time.Second + OutageRemovalGrace))
	require.Zero(t, s.Len())
}
