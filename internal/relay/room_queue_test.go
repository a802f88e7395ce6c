package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/route"
)

// startBrittleRelay starts a relay with one brittle engine that runs one call at a time, for 25 ms each.
func startBrittleRelay(t *testing.T) *testRelay {
	stub := startStub(t, "e0", func(c net.Conn, r *http.Request, _ string) bool {
		time.Sleep(25 * time.Millisecond)
		return writeResponse(c, r, 200, r.URL.Path, "Seal: s", "Brittle: 1", "Load: 0,0,1")
	})
	stub.slots = 1
	r := startRelay(t, stub)
	require.Equal(t, http.StatusOK, r.request("POST", "/book/first", "x", "Id", "first").status)
	return r
}

// waitForTurn waits until the present turn lasts for some time.
func waitForTurn(d time.Duration) {
	for {
		now := time.Now()
		if _, open := route.Turn(now); open && now.Add(d).UnixMilli()/1000 == now.UnixMilli()/1000 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against refusals of calls for which a brittle engine has room some milliseconds later, so that it stands idle.
func TestCallWaitsForRoomAtBrittleEngine(t *testing.T) {
	r := startBrittleRelay(t)
	waitForTurn(300 * time.Millisecond)
	var group sync.WaitGroup
	for i := range 2 {
		group.Go(func() {
			got := r.request("POST", fmt.Sprintf("/book/%d", i), "x", "Id", fmt.Sprint(i))
			require.Equal(t, http.StatusOK, got.status, got.body)
		})
		time.Sleep(5 * time.Millisecond)
	}
	group.Wait()
}

// refusalTimes returns how long the relay held each request that it refused.
func (l *eventLog) refusalTimes(t *testing.T) (list []time.Duration) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.lines.String()) {
		var ev struct {
			Kind   string
			Inputs struct {
				TookMillis int64 `json:"took_ms"`
			}
		}
		require.NoError(t, json.Unmarshal([]byte(line), &ev))
		if ev.Kind == "request_refused" {
			list = append(list, time.Duration(ev.Inputs.TookMillis)*time.Millisecond)
		}
	}
	return list
}

// Guards against calls that are held for room that they can't get in time, in place of a refusal at once.
func TestCallsBeyondExpectedRoomAreRefusedAtOnce(t *testing.T) {
	r := startBrittleRelay(t)
	waitForTurn(300 * time.Millisecond)
	var mu sync.Mutex
	var group sync.WaitGroup
	served := 0
	for i := range 20 {
		group.Go(func() {
			got := r.request("POST", fmt.Sprintf("/book/%d", i), "x", "Id", fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				served++
			}
		})
	}
	group.Wait()
	require.GreaterOrEqual(t, served, 2)
	refusals := r.log.refusalTimes(t)
	require.Len(t, refusals, 20-served)
	held := 0
	for _, took := range refusals {
		if took >= defaultRoomPatience/2 {
			held++
		}
	}
	require.LessOrEqual(t, held, 1)
}

// Guards against a waiting call that is overtaken, and against one that is gone and keeps the others waiting.
func TestRoomQueueKeepsItsOrder(t *testing.T) {
	q := &roomQueue{}
	var list []chan struct{}
	for range 3 {
		wake, ok := q.join(3)
		require.True(t, ok)
		list = append(list, wake)
	}
	_, ok := q.join(3)
	require.False(t, ok)
	q.wakeFirst()
	q.wakeFirst()
	require.Len(t, list[0], 1)
	q.leave(list[1])
	q.leave(list[0])
	require.True(t, q.isFirst(list[2]))
	require.Len(t, list[2], 1, "it is first now")
	q.leave(list[2])
	q.wakeFirst()
	require.Empty(t, q.waiting)
}
