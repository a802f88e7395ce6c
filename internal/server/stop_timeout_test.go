package server_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/pkg/generation"
)

// requireKnownOutcome requires an answer that states truly what is known about a request that was cut off.
func requireKnownOutcome(t *testing.T, g *recordingTarget, c *rawConn, id string) {
	a, err := c.answer()
	require.NoError(t, err, "reached target: %v", g.reached(id))
	require.True(t, a.close, a.body)
	if strings.HasPrefix(a.body, "data: ") {
		require.Contains(t, a.body, `"outcome":"unknown"`)
		return
	}
	require.GreaterOrEqual(t, a.status, http.StatusBadRequest, a.body)
	require.NotEmpty(t, a.refusal.Code, a.body)
	require.NotEmpty(t, a.refusal.RequestID, a.body)
	if g.reached(id) {
		require.Equal(t, generation.Unknown, a.refusal.Outcome, a.body)
		return
	}
	require.Contains(t, []generation.Outcome{generation.NotRun, generation.Unknown}, a.refusal.Outcome, a.body)
}

// TestStopTimeoutAnswersRequestsInProgress guards against a request in progress without output whose connection closes silently when the stop timeout passes.
func TestStopTimeoutAnswersRequestsInProgress(t *testing.T) {
	g := &recordingTarget{release: make(chan struct{})}
	in := startStopInstance(t, g, time.Millisecond, 500*time.Millisecond)
	conns := map[string]*rawConn{}
	for _, kind := range requestKinds {
		conns[kind] = openRaw(t, in)
		_, err := io.WriteString(conns[kind], rawRequest(kind, kind))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return g.reached(kind) }, 5*time.Second, time.Millisecond)
	}
	in.stop()
	for _, kind := range requestKinds {
		t.Run(kind, func(t *testing.T) { requireKnownOutcome(t, g, conns[kind], kind) })
	}
	in.waitStopped(t)
}

// TestStopTimeoutAnswersUnfinishedUpload guards against a request whose connection closes silently when the stop timeout passes before its body has arrived.
func TestStopTimeoutAnswersUnfinishedUpload(t *testing.T) {
	kinds := []string{"whole", "streamed", "call"}
	g := &recordingTarget{}
	in := startStopInstance(t, g, time.Millisecond, 500*time.Millisecond)
	conns := map[string]*rawConn{}
	for _, kind := range kinds {
		conns[kind] = openRaw(t, in)
		raw := rawRequest(kind, kind)
		_, err := io.WriteString(conns[kind], raw[:len(raw)-1])
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	in.stop()
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			a, err := conns[kind].answer()
			require.NoError(t, err)
			require.True(t, a.close, a.body)
			require.Equal(t, generation.NotRun, a.refusal.Outcome, a.body)
			require.False(t, g.reached(kind))
		})
	}
	in.waitStopped(t)
}

// TestLateRequestAtStopTimeout guards against a request that is accepted during the drain, cannot end before the stop timeout and gets no answer.
func TestLateRequestAtStopTimeout(t *testing.T) {
	g := &recordingTarget{delay: 1500 * time.Millisecond}
	in := startStopInstance(t, g, 300*time.Millisecond, 300*time.Millisecond)
	type late struct {
		*rawConn
		kind, id string
	}
	var list []late
	var group errgroup.Group
	for _, kept := range []bool{true, false} {
		for _, kind := range requestKinds {
			l := late{openRaw(t, in), kind, fmt.Sprintf("late-%v-%s", kept, kind)}
			list = append(list, l)
			if !kept {
				continue
			}
			group.Go(func() error {
				_, err := io.WriteString(l, rawRequest("call", "first-"+kind))
				if err == nil {
					_, err = l.answer()
				}
				return err
			})
		}
	}
	require.NoError(t, group.Wait())
	in.stop()
	time.Sleep(200 * time.Millisecond)
	for _, l := range list {
		_, err := io.WriteString(l, rawRequest(l.kind, l.id))
		require.NoError(t, err)
	}
	for i, l := range list {
		t.Run(fmt.Sprintf("kept=%v/%s", i < len(requestKinds), l.kind), func(t *testing.T) { requireKnownOutcome(t, g, l.rawConn, l.id) })
	}
	in.waitStopped(t)
}

// TestCallTakenDuringDrainIsCutOff guards against a call that must not be repeated and that a stopping instance takes although it
// may not end before the stop does, so that its caller learns only that it may have run.
func TestCallTakenDuringDrainIsCutOff(t *testing.T) {
	g := &recordingTarget{delay: 1500 * time.Millisecond}
	in := startStopInstance(t, g, 400*time.Millisecond, 400*time.Millisecond)
	kept, fresh, short := openRaw(t, in), openRaw(t, in), openRaw(t, in)
	upload := openRaw(t, in)
	raw := rawRequest("call", "upload")
	_, err := io.WriteString(upload, raw[:len(raw)-1])
	require.NoError(t, err)
	_, err = io.WriteString(kept, rawRequest("repeatable", "first"))
	require.NoError(t, err)
	_, err = kept.answer()
	require.NoError(t, err)
	in.stop()
	time.Sleep(100 * time.Millisecond)
	for c, text := range map[*rawConn]string{
		kept: rawRequest("call", "kept"), fresh: rawRequest("call", "fresh"), upload: raw[len(raw)-1:],
		short: strings.Replace(rawRequest("call", "short"), "Host: x\r\n", "Host: x\r\nBambooferry-Deadline: 200\r\n", 1),
	} {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	for id, c := range map[string]*rawConn{"kept": kept, "fresh": fresh, "upload": upload} {
		a, err := c.answer()
		require.NoError(t, err, id)
		require.NoError(t, a.checkLeaving(g, id), id)
		require.Equal(t, http.StatusServiceUnavailable, a.status, id)
	}
	a, err := short.answer()
	require.NoError(t, err)
	require.True(t, g.reached("short"), "it ends before the stop does: %s", a.body)
	in.waitStopped(t)
}

// TestHeaderBeforeStopTimeout guards against a request without an answer whose header is complete shortly before the stop timeout, and against a stop that waits for a header that never is.
func TestHeaderBeforeStopTimeout(t *testing.T) {
	g := &recordingTarget{}
	in := startStopInstance(t, g, 10*time.Millisecond, 500*time.Millisecond)
	raw := rawRequest("whole", "late")
	c, never := openRaw(t, in), openRaw(t, in)
	c.use(t, g, "first")
	never.use(t, g, "second")
	for _, k := range []*rawConn{c, never} {
		_, err := io.WriteString(k, raw[:20])
		require.NoError(t, err)
	}
	in.stop()
	time.Sleep(300 * time.Millisecond)
	_, err := io.WriteString(c, raw[20:])
	require.NoError(t, err)
	a, err := c.answer()
	require.NoError(t, err)
	require.NoError(t, a.checkLeaving(g, "late"))
	in.waitStopped(t)
}
