package relay

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/workload"
)

// Guards against a caller whose false token counts distort what is known of all requests, or make a message that can't be
// encoded, which would stop the exchange between instances.
func TestFalseTokenCountsAreBounded(t *testing.T) {
	tr := startRelay(t, startStub(t, "e1", answerStream))
	p := tr.relay.Targets.pool("p")
	withLock(&p.mu, func() {
		require.NoError(t, p.placement.paces.RecordStated(time.Now(), p.targets[0].Address, workload.Statement{Slowness: 1, At: time.Now()}, true))
	})
	req := &callerRequest{pool: p, route: &route.Route{Name: "draft", Kind: route.Streaming}, RequestInfo: RequestInfo{ID: "1", PromptTokens: math.MaxInt, OutputTokens: math.MaxInt, OutputHint: math.MaxInt}}
	w := req.expectedWork(time.Now(), 0)
	require.LessOrEqual(t, w.Read, float64(maxStatedTokens))
	require.LessOrEqual(t, w.Write, float64(maxStatedTokens))
	require.LessOrEqual(t, requestSize(req), 2*maxStatedTokens)
	target, _, ok := p.chooseTarget(time.Now(), "a", targetCriteria{work: w})
	require.True(t, ok)
	_, err := json.Marshal(tr.relay.Targets.LocalProgress(time.Now().Add(-time.Second)))
	require.NoError(t, err)
	req.releaseTarget(time.Now(), target)
}

// Guards against the end of one of two requests with an id at a target that ends the work of both.
func TestRequestMayBeAtATargetTwice(t *testing.T) {
	pl := &placement{}
	pl.init()
	now := time.Now()
	pl.backlog.Begin(now, "e1", "1", workload.Work{Read: 100, Write: 10})
	pl.backlog.Begin(now, "e1", "1", workload.Work{Read: 100, Write: 10})
	pl.backlog.End(now, "e1", "1")
	require.Equal(t, 1, pl.backlog.At(now, "e1").Streams)
	pl.backlog.End(now, "e1", "1")
	require.Zero(t, pl.backlog.At(now, "e1").Streams)
}
