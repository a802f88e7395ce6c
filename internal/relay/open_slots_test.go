package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEntryWithoutTargetHasNoSlots guards against a rollout that fails for want of a match to an entry without a target.
func TestEntryWithoutTargetHasNoSlots(t *testing.T) {
	answer := func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, 200, "x", "Seal: s") }
	e1, odd := startStub(t, "e1", answer), startStub(t, "odd", answer)
	require.NoError(t, odd.closeListener())
	tr := startRelay(t, e1, odd)
	slots := func() (sum int) {
		for _, n := range tr.relay.Targets.OpenSlots(time.Now(), "p") {
			sum += n
		}
		return sum
	}
	before := slots()
	for i := range 30 {
		require.Equal(t, 200, tr.request("GET", fmt.Sprintf("/view/%d", i), "").status)
	}
	require.Equal(t, before/2, slots())
}
