package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// maxEndlessBytes bounds what an instance reads of bytes that are no answer before it gives up their engine.
const maxEndlessBytes = 1 << 20

// endlessStub sends a text again and again, after a beginning, until its connection is closed.
type endlessStub struct {
	*engineStub
	sent atomic.Int64
}

func startEndlessStub(t *testing.T, begin func(c net.Conn, r *http.Request), text string, pause time.Duration) *endlessStub {
	s := &endlessStub{}
	s.engineStub = startStub(t, "e1", func(c net.Conn, r *http.Request, _ string) bool {
		begin(c, r)
		for {
			n, err := c.Write([]byte(text))
			s.sent.Add(int64(n))
			if err != nil {
				return false
			}
			time.Sleep(pause)
		}
	})
	return s
}
