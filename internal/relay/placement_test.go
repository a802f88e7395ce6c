package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against prompts that are read again from the start although a backup engine has a copy of what was read before
// the stream's engine was lost, and against other pools that go on differently than before.
func TestStreamLostBeforeItsFirstEventGoesToItsBackup(t *testing.T) {
	for name, enabled := range map[string]bool{"placed_by_work": true, "as_before": false} {
		t.Run(name, func(t *testing.T) {
			var attempts, atCopy atomic.Int32
			var backup atomic.Value
			handle := func(c net.Conn, r *http.Request, _ string) bool {
				if attempts.Add(1) == 1 {
					backup.Store(r.Header.Get("Backup"))
					return false
				}
				if r.Header.Get("Copy") == backup.Load() && c.LocalAddr().String() == backup.Load() {
					atCopy.Add(1)
				}
				require.Empty(t, r.Header.Get("After"))
				writeEvents(c, r, 1, 3, true)
				return true
			}
			tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle), startStub(t, "e3", handle))
			if enabled {
				tr.relay.Targets.pool("p").recordSlowness(1)
			}
			got := tr.request("POST", "/draft/1", "prompt")
			require.NoError(t, got.err)
			require.Equal(t, eventsText(1, 3), got.body)
			require.NotEmpty(t, backup.Load())
			if enabled {
				require.EqualValues(t, 1, atCopy.Load())
			} else {
				require.Zero(t, atCopy.Load())
			}
		})
	}
}

// Guards against a request for a copy that cannot exist, since the engine has refused the stream.
func TestRefusedStreamHasNoCopy(t *testing.T) {
	var attempts atomic.Int32
	var copies atomic.Int32
	handle := func(c net.Conn, r *http.Request, _ string) bool {
		if r.Header.Get("Copy") != "" {
			copies.Add(1)
		}
		if attempts.Add(1) == 1 {
			return writeResponse(c, r, http.StatusServiceUnavailable, "full", "Not-Run: 1")
		}
		writeEvents(c, r, 1, 3, true)
		return true
	}
	tr := startRelay(t, startStub(t, "e1", handle), startStub(t, "e2", handle), startStub(t, "e3", handle))
	tr.relay.Targets.pool("p").recordSlowness(1)
	require.Equal(t, eventsText(1, 3), tr.request("POST", "/draft/1", "prompt").body)
	require.Zero(t, copies.Load())
}
