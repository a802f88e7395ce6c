package server_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
)

// callerIdleTimeout is the time after which an instance closes an idle connection of a caller.
const callerIdleTimeout = 2 * time.Second

// timedConn is a connection on which the instance set a read deadline between two times.
type timedConn struct {
	*rawConn
	before, after time.Time
	// rest is the part of the request with an id that is still to be sent.
	id, rest string
}

// sendAtDeadline writes the rest of each request so that the kernel holds it when the read deadline of its
// connection passes, and requires answers.
func sendAtDeadline(t *testing.T, g *recordingTarget, conns []timedConn, timeout time.Duration) {
	var tested []timedConn
	for _, k := range conns {
		earliest := k.before.Add(timeout)
		begin, end := earliest.Add(-2*time.Millisecond), k.after.Add(timeout+time.Millisecond)
		if time.Now().Before(begin) && end.Sub(begin) < maxBurst && burst([]*rawConn{k.rawConn}, []string{k.rest}, begin, earliest, end) {
			tested = append(tested, k)
		}
	}
	require.NotEmpty(t, tested, "the test's goroutine was interrupted in each attempt")
	var faults []string
	for _, k := range tested {
		a, err := k.answer()
		if err == nil {
			err = a.check(g, k.id)
		}
		if err != nil {
			faults = append(faults, k.id+": "+err.Error())
		}
	}
	t.Logf("sent %d requests, faults %d", len(tested), len(faults))
	require.Empty(t, faults)
}

// TestRequestsInKernelAtIdleTimeout guards against requests without an answer that the kernel holds for idle kept connections when the idle timeout passes.
func TestRequestsInKernelAtIdleTimeout(t *testing.T) {
	keepOneProcessor(t)
	g := &recordingTarget{}
	in := startStopInstance(t, g, time.Millisecond, 10*time.Second, func(l *server.Limits) { l.IdleTimeout = callerIdleTimeout })
	conns := make([]timedConn, 40)
	for i := range conns {
		k := &conns[i]
		k.rawConn, k.id = openRaw(t, in), fmt.Sprint("next-", i)
		k.rest = rawRequest(requestKinds[i%len(requestKinds)], k.id)
		k.before = time.Now()
		k.use(t, g, fmt.Sprint("first-", i))
		k.after = time.Now()
		time.Sleep(25 * time.Millisecond)
	}
	sendAtDeadline(t, g, conns, callerIdleTimeout)
}

// TestRequestsInKernelAtHeaderTimeout guards against requests without an answer that the kernel holds in whole when the time for their headers passes.
func TestRequestsInKernelAtHeaderTimeout(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprintf("kept=%v", kept), func(t *testing.T) {
			keepOneProcessor(t)
			g := &recordingTarget{}
			in := startStopInstance(t, g, time.Millisecond, 10*time.Second, func(l *server.Limits) { l.HeaderTimeout = time.Second })
			conns := make([]timedConn, 40)
			for i := range conns {
				k := &conns[i]
				k.id = fmt.Sprint("next-", i)
				k.rest = rawRequest(requestKinds[i%len(requestKinds)], k.id)
				if kept {
					k.rawConn = openRaw(t, in)
					k.use(t, g, fmt.Sprint("first-", i))
				}
				k.before = time.Now()
				if kept {
					_, err := io.WriteString(k, k.rest[:20])
					require.NoError(t, err)
					k.rest = k.rest[20:]
				} else {
					k.rawConn = openRaw(t, in)
				}
				// The instance's goroutine sets the deadline while this one sleeps.
				time.Sleep(time.Millisecond)
				k.after = time.Now()
				time.Sleep(15 * time.Millisecond)
			}
			sendAtDeadline(t, g, conns, in.Limits.HeaderTimeout)
		})
	}
}
