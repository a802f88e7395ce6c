package tunnel

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/standin/responder"
)

// TestResetDuringUploadIsCarriedAsLoss guards against a carrier that passes on the reset of a target's connection as the
// end of its bytes, since its own write of the request got the kernel's report of the reset.
func TestResetDuringUploadIsCarriedAsLoss(t *testing.T) {
	for name, endsBytes := range map[string]bool{"reset": false, "end, then reset": true} {
		t.Run(name, func(t *testing.T) {
			s := &responder.Responder{Answer: func(*http.Request) string { return "answer" }, EndsBytes: endsBytes}
			target, err := s.Start()
			require.NoError(t, err)
			defer func() { require.NoError(t, s.Close()) }()
			carrier := startCarrier(t, target)
			for range 20 {
				conn := dial(t, carrier)
				var group sync.WaitGroup
				group.Go(func() {
					_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"+strings.Repeat("x", 8<<20))
				})
				data, err := io.ReadAll(conn)
				require.Equal(t, "answer", string(data))
				if endsBytes {
					require.NoError(t, err)
				} else {
					require.ErrorAs(t, err, new(*TargetLostError))
				}
				require.NoError(t, conn.Close())
				group.Wait()
			}
		})
	}
}
