package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnReadAfterReturnToPool guards against a data race between the end of an attempt and the next request on its connection.
func TestConnReadAfterReturnToPool(t *testing.T) {
	stub := startStub(t, "e1", func(conn net.Conn, r *http.Request, _ string) bool {
		return writeResponse(conn, r, 200, "answer", "Seal: s")
	})
	stub.slots = 1000
	tr := startRelay(t, stub)
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for n := range 60 {
				require.Equal(t, 200, tr.request("POST", "/book/1", "", "Id", fmt.Sprintf("%d-%d", caller, n)).status)
			}
		})
	}
	group.Wait()
}
