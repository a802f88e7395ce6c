package relay

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/workload"
)

func answerStream(c net.Conn, r *http.Request, _ string) bool {
	writeEvents(c, r, 1, 9, true)
	return true
}

// Guards against new fields in messages, and another choice, where no target states how slow its machine is.
func TestPoolsWithoutStatedSlownessSendNoWork(t *testing.T) {
	tr := startRelay(t, startStub(t, "e1", answerStream))
	p := tr.relay.Targets.pool("p")
	target, _, ok := p.chooseTarget(time.Now(), "a", targetCriteria{})
	require.True(t, ok)
	require.Nil(t, (&callerRequest{pool: p}).expectedWork(time.Now(), 0))
	message, err := json.Marshal(tr.relay.Targets.LocalProgress(time.Now()))
	require.NoError(t, err)
	require.Contains(t, string(message), `"shares":{"e1":{"running":1,"pending":1}}`)
	require.NotContains(t, string(message), "paces")
	p.releaseTarget(time.Now(), target)
}

// Guards against streams that go to a slow target while a fast one has as little to do.
func TestStreamsGoToFastTargets(t *testing.T) {
	slow, fast := startStub(t, "slow", answerStream), startStub(t, "fast", answerStream)
	tr := startRelay(t, slow, fast)
	tr.relay.Targets.ApplyRemoteProgress(time.Now(), "i2", gossip.Progress{Paces: map[string]gossip.PaceStatement{
		"slow": {SlownessPercent: 300}, "fast": {SlownessPercent: 60},
	}})
	for range 5 {
		require.Equal(t, eventsText(1, 9), tr.request("POST", "/draft/1", "prompt").body)
	}
	require.Empty(t, slow.seenRequests())
	require.Len(t, fast.seenRequests(), 5)
	require.Contains(t, tr.log.String(), "slowness_percent")
}

// Guards against work that counts at a target after its request has ended, which would keep requests away from it.
func TestEndedRequestsLeaveNoWork(t *testing.T) {
	tr := startRelay(t, startStub(t, "e1", func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/draft/lost" {
			return false
		}
		if r.URL.Path == "/draft/full" {
			return writeResponse(c, r, http.StatusServiceUnavailable, "full", "Not-Run: 1")
		}
		if r.Method == http.MethodGet {
			return writeResponse(c, r, http.StatusOK, "fine", "Seal: s")
		}
		return answerStream(c, r, body)
	}))
	p := tr.relay.Targets.pool("p")
	withLock(&p.mu, func() {
		require.NoError(t, p.placement.paces.RecordStated(time.Now(), p.targets[0].Address, workload.Statement{Slowness: 1, At: time.Now()}, true))
	})
	for _, path := range []string{"/draft/whole", "/draft/lost", "/draft/full"} {
		tr.request("POST", path, "prompt", "Patience", "1s")
	}
	tr.request("GET", "/view/1", "")
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.placement.backlog.At(time.Now(), "e1").Streams == 0 && len(p.enginePool.LocalCounts()) == 0
	}, 2*time.Second, 10*time.Millisecond)
}

// Guards against figures of another instance that cannot be true, or are of targets that are not known here.
func TestFalsePacesAndWorkAreIgnored(t *testing.T) {
	tr := startRelay(t, startStub(t, "e1", answerStream))
	p := tr.relay.Targets.pool("p")
	tr.relay.Targets.ApplyRemoteProgress(time.Now(), "i2", gossip.Progress{Paces: map[string]gossip.PaceStatement{
		"e1": {SlownessPercent: -5}, "unknown": {SlownessPercent: 100},
	}})
	require.Nil(t, (&callerRequest{pool: p}).expectedWork(time.Now(), 0), "no true statement")
	tr.relay.Targets.ApplyRemoteProgress(time.Now(), "i2", gossip.Progress{
		Paces:      map[string]gossip.PaceStatement{"e1": {SlownessPercent: 100}},
		InProgress: map[string]engine.RequestCounts{"e1": {Running: 1, Read: -4, Write: 1 << 60}, "unknown": {Running: 4, Read: 5}},
	})
	withLock(&p.mu, func() {
		left := p.placement.backlog.At(time.Now(), "e1")
		require.True(t, left.Read >= 0 && left.Write < 1<<30, left)
	})
	require.Equal(t, eventsText(1, 9), tr.request("POST", "/draft/1", "prompt").body)
}

// Guards against messages that a build without paces and work can't read, and the other way round.
func TestFormerBuildsReadProgress(t *testing.T) {
	now := gossip.Progress{
		InProgress: map[string]engine.RequestCounts{"e1": {Running: 2, Pending: 1, Read: 5200, Write: 700, Memory: 5900}},
		Paces:      map[string]gossip.PaceStatement{"e1": {SlownessPercent: 160, AgeMillis: 30}},
	}
	data, err := json.Marshal(now)
	require.NoError(t, err)
	former := struct {
		InProgress map[string]struct {
			Running int `json:"running"`
			Pending int `json:"pending,omitempty"`
		} `json:"shares"`
	}{}
	require.NoError(t, json.Unmarshal(data, &former))
	require.Equal(t, 2, former.InProgress["e1"].Running)
	read := gossip.Progress{}
	require.NoError(t, json.Unmarshal([]byte(`{"shares":{"e1":{"running":2,"pending":1}}}`), &read))
	require.Equal(t, engine.RequestCounts{Running: 2, Pending: 1}, read.InProgress["e1"])
}
