package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/deployment"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/instance"
	"bambooferry.example/bambooferry/pkg/version"
)

// closedAddress is an address that refuses connections.
const closedAddress = "127.0.0.1:1"

func newMember(id string, state instance.State, revision, lag int64) server.MemberStatus {
	m := server.MemberStatus{Member: instance.Member{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "scot-central-1", Incarnation: 7, State: state}}
	if revision > 0 {
		m.Revision, m.LagMillis = &revision, lag
		m.Load = &server.Load{Streams: 3, Paused: 1, CrashMarks: 1, Slots: map[string]server.SlotLoad{
			"target": {Held: 10, InUse: 3, Idle: 5, Lent: 2, Borrowed: 1}, "entry": {Held: 4, InUse: 4},
		}}
	}
	return m
}

func newStatus(lag int64, changes ...server.ChangeStatus) server.Status {
	return server.Status{Instance: "instance-0", DataCentre: "scot-central-1", HighestRevision: 12, Changes: changes, Members: []server.MemberStatus{
		newMember("instance-0", instance.Alive, 12, 0), newMember("instance-1", instance.Alive, 11, lag),
		newMember("instance-2", instance.Suspect, 0, 0), newMember("instance-3", instance.Dead, 0, 0),
	}}
}

func newChange(state version.State, reason, mark string) server.ChangeStatus {
	share := 0.05
	if state == version.RolledBack {
		share = 0
	}
	return server.ChangeStatus{
		Entry: "ferry-llm", From: "v1", To: "v2", State: state, Share: share, Reason: reason, Mark: mark, Deadline: time.Date(2026, 5, 1, 5, 0, 0, 0, time.UTC),
		Old: version.Counts{Requests: 900, Failed: 2, FirstTokens: 900, SlowFirstTokens: 80, TokenIntervals: 700, SlowTokenIntervals: 60}, New: version.Counts{Requests: 40, Failed: 9, FirstTokens: 31, SlowFirstTokens: 3}, OwnFailures: 8,
	}
}

// statusWithRoles returns a status with the reports of a former and of the current sender of orders.
func statusWithRoles() server.Status {
	st := newStatus(0)
	st.Members[0].Load.Roles = &server.RoleReport{Fence: 3, Roles: []server.RoleStatus{{Entry: "ferry-llm", Role: "decode", Wanted: 9}}}
	st.Members[1].Load.Roles = &server.RoleReport{Fence: 4, Roles: []server.RoleStatus{
		{Entry: "ferry-llm", Role: "prefill", Wanted: 6, Held: 3, Unknown: 1, Others: []string{"engine-1", "engine-4"}},
		{Entry: "ferry-llm", Role: "decode", Wanted: 19, Held: 19},
	}}
	return st
}

var statusCases = map[string]struct {
	status server.Status
	failed bool
}{
	"short-lag":   {newStatus(1500), false},
	"long-lag":    {newStatus(9001), true},
	"trial":       {newStatus(0, newChange(version.Trial, "enough_results", "")), false},
	"not-begun":   {newStatus(0, server.ChangeStatus{Entry: "ferry-llm", From: "v1", To: "v2", State: server.NotBegun}), false},
	"marked":      {newStatus(0, newChange(version.Trial, "enough_results", "failing")), true},
	"roles":       {statusWithRoles(), false},
	"rolled-back": {newStatus(0, newChange(version.RolledBack, "failing", "")), true},
}

// TestStatusText guards against tables that hide a lag or a rollback, and against exit statuses that contradict them.
func TestStatusText(t *testing.T) {
	now := time.Date(2026, 5, 1, 4, 30, 0, 0, time.UTC)
	for name, c := range statusCases {
		t.Run(name, func(t *testing.T) {
			goldie.New(t).Assert(t, "status-"+name, []byte(statusText(now, &c.status)))
			require.Equal(t, c.failed, hasFailure(&c.status))
		})
	}
}

func runStatus(ctx context.Context, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	e := Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }}
	code := Main(ctx, e, append([]string{"catalogue", "status"}, args...))
	return code, out.String(), errs.String()
}

func serveStatus(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestStatusOfDeployment guards against status fields that running instances do not fill in.
func TestStatusOfDeployment(t *testing.T) {
	d, err := deployment.Start(t.Context(), deployment.Config{Instances: 3, Engines: 2, Services: 1, EngineTemplate: deployment.DefaultEngine(), Limits: server.DefaultLimits()})
	require.NoError(t, err)
	defer d.Close()
	address := serveStatus(t, d.Instances[1].ServeStatus)
	require.Eventually(t, func() bool {
		code, out, errs := runStatus(t.Context(), "-json", "-instance", closedAddress, "-instance", address)
		require.Equal(t, exitOK, code, errs)
		st := server.Status{}
		require.NoError(t, json.Unmarshal([]byte(out), &st))
		require.NotContains(t, out, deployment.APIKey)
		full := st.Instance == "instance-1" && len(st.Members) == 3 && st.HighestRevision == 1
		for _, m := range st.Members {
			full = full && m.Revision != nil && *m.Revision == 1 && m.Load != nil && m.Load.Slots["target"].Held > 0
		}
		return full
	}, 20*time.Second, 20*time.Millisecond)
}

// TestStatusFailures guards against failures that are reported as a good status.
func TestStatusFailures(t *testing.T) {
	emptyStatus := serveStatus(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) })
	rolledBack := serveStatus(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(statusCases["rolled-back"].status)
	})
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"none given":   {nil, exitSetting, "-instance"},
		"no address":   {[]string{"-instance", "here"}, exitSetting, "IP addresses"},
		"none answers": {[]string{"-instance", closedAddress}, exitFailed, "no instance responded"},
		"not a status": {[]string{"-instance", emptyStatus}, exitFailed, "names no instance"},
		"rolled back":  {[]string{"-instance", closedAddress + "," + rolledBack}, exitFailed, ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, errs := runStatus(t.Context(), c.args...)
			require.Equal(t, c.code, code, errs)
			require.Contains(t, errs, c.want)
		})
	}
}

// TestStatusWatch guards against a live table that is not redrawn or that continues after its context ends.
func TestStatusWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	requests := 0
	address := serveStatus(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests == 3 {
			cancel()
		}
		_ = json.NewEncoder(w).Encode(statusCases["short-lag"].status)
	})
	code, out, errs := runStatus(ctx, "-watch", "-instance", address)
	require.Equal(t, exitOK, code, errs)
	require.GreaterOrEqual(t, strings.Count(out, clearScreen), 2)
}

// FuzzDecodeStatus guards against responses that make the command panic or print control characters.
func FuzzDecodeStatus(f *testing.F) {
	for _, c := range statusCases {
		data, _ := json.Marshal(c.status)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		st, err := decodeStatus(data)
		if err != nil {
			return
		}
		for _, r := range statusText(time.Unix(0, 0), st) {
			require.False(t, r < ' ' && r != '\n')
		}
		_ = hasFailure(st)
	})
}
