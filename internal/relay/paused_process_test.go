package relay

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// targetVariable names the variable that holds the targets of the relay in a process of its own.
const targetVariable = "RELAY_TEST_TARGETS"

// TestRelayProcess is the process of startRelayProcess.
func TestRelayProcess(t *testing.T) {
	targets := os.Getenv(targetVariable)
	if targets == "" {
		t.Skip("runs only in the process that another test starts")
	}
	var stubs []*engineStub
	for i, address := range strings.Split(targets, ",") {
		stubs = append(stubs, &engineStub{id: fmt.Sprintf("e%d", i+1), address: netip.MustParseAddrPort(address)})
	}
	tr := startRelay(t, stubs...)
	fmt.Println("address=" + tr.callerAddress)
	<-tr.done
}

// startRelayProcess starts a relay in a process of its own.
func startRelayProcess(t *testing.T, stubs ...*engineStub) (*testRelay, *os.Process) {
	t.Helper()
	var targets []string
	for _, s := range stubs {
		targets = append(targets, s.address.String())
	}
	child := exec.Command(os.Args[0], "-test.run=^TestRelayProcess$")
	child.Env = append(os.Environ(), targetVariable+"="+strings.Join(targets, ","))
	out, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	})
	address := ""
	_, err = fmt.Fscanf(out, "address=%s\n", &address)
	require.NoError(t, err)
	return &testRelay{t: t, callerAddress: address}, child.Process
}

// Guards against taking the pause of the own process for the silence of an engine.
func TestPausedProcessKeepsItsStreams(t *testing.T) {
	const before, after = 10, 30
	const eventInterval = 50 * time.Millisecond
	for _, path := range []string{"/once/1", "/draft/1"} {
		for name, silence := range map[string]time.Duration{"engine_goes_on": 0, "engine_silent_as_well": engineSilence + 200*time.Millisecond} {
			t.Run(strings.Split(path, "/")[1]+"/"+name, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				reached := make(chan struct{}, 2)
				handle := func(conn net.Conn, r *http.Request, _ string) bool {
					runs.Add(1)
					if last, err := strconv.Atoi(r.Header.Get("After")); err == nil {
						writeEvents(conn, r, last+1, after, true)
						return true
					}
					writeStreamHeader(conn, r)
					for n := 1; n <= after; n++ {
						writeStreamEvents(conn, n, n, n == after)
						if n == before {
							reached <- struct{}{}
							time.Sleep(silence)
						}
						time.Sleep(eventInterval)
					}
					return true
				}
				tr, process := startRelayProcess(t, startStub(t, "e1", handle), startStub(t, "e2", handle))
				responses := make(chan callerResponse, 1)
				go func() { responses <- tr.request("POST", path, "prompt") }()
				<-reached
				time.Sleep(10 * time.Millisecond)
				require.NoError(t, process.Signal(syscall.SIGSTOP))
				time.Sleep(engineSilence)
				require.NoError(t, process.Signal(syscall.SIGCONT))
				got := <-responses
				require.NoError(t, got.err)
				require.Equal(t, eventsText(1, after), got.body)
				if path == "/once/1" {
					require.EqualValues(t, 1, runs.Load())
				}
			})
		}
	}
}
