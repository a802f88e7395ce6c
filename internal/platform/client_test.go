package platform_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/platform"
	standin "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// startService runs the stand-in key-value service and returns a client for it.
func startService(t *testing.T) (*standin.Service, *platform.Client) {
	t.Helper()
	s := &standin.Service{}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return s, &platform.Client{Address: address, HTTP: server.Client(), Timeout: 300 * time.Millisecond}
}

var ctx = context.Background()

// Guards against a service or client that silently loses one of two concurrent writes.
func TestCompareAndSwap(t *testing.T) {
	_, c := startService(t)
	v, err := c.Get(ctx, "a/b")
	require.NoError(t, err)
	require.Zero(t, v.Version)
	version, err := c.CompareAndSwap(ctx, "a/b", 0, []byte("one"))
	require.NoError(t, err)
	require.EqualValues(t, 1, version)
	_, err = c.CompareAndSwap(ctx, "a/b", 0, []byte("two"))
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "a/b", conflict.Key)
	require.Equal(t, platform.Value{Version: 1, Data: []byte("one")}, conflict.Current)
	v, err = c.Get(ctx, "a/b")
	require.NoError(t, err)
	require.Equal(t, "one", string(v.Data))
	_, err = c.CompareAndSwap(ctx, "big", 0, make([]byte, platform.MaxValueBytes+1))
	var status *platform.StatusError
	require.ErrorAs(t, err, &status)
	require.Equal(t, 413, status.Status)
}

// Guards against a watch that misses a change, or never ends.
func TestWatch(t *testing.T) {
	_, c := startService(t)
	got := make(chan platform.Value)
	go func() {
		v, _ := c.Watch(ctx, "k", 0, 5*time.Second)
		got <- v
	}()
	time.Sleep(20 * time.Millisecond)
	_, err := c.CompareAndSwap(ctx, "k", 0, []byte("x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, (<-got).Version)
	v, err := c.Watch(ctx, "k", 1, 10*time.Millisecond)
	require.NoError(t, err)
	require.EqualValues(t, 1, v.Version)
}

// Guards against two holders of one lease, and against a fencing number that does not increase.
func TestLease(t *testing.T) {
	s, c := startService(t)
	a, err := c.AcquireLease(ctx, "decider", "instance-a", time.Minute)
	require.NoError(t, err)
	b, err := c.AcquireLease(ctx, "decider", "instance-b", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "instance-a", b.Holder)
	renewed, err := c.AcquireLease(ctx, "decider", "instance-a", time.Minute)
	require.NoError(t, err)
	require.Equal(t, a.Fence, renewed.Fence)
	s.SetFaults(standin.Faults{ExpireLeases: true})
	b, err = c.AcquireLease(ctx, "decider", "instance-b", time.Minute)
	require.NoError(t, err)
	require.Equal(t, "instance-b", b.Holder)
	require.Greater(t, b.Fence, a.Fence)
	require.NoError(t, c.ReleaseLease(ctx, "decider", "instance-b"))
	a, err = c.AcquireLease(ctx, "decider", "instance-a", time.Minute)
	require.NoError(t, err)
	require.Greater(t, a.Fence, b.Fence)
}

// Guards against injected faults that a caller would mistake for success or for a conflict.
func TestFaultsAreNotConflicts(t *testing.T) {
	for _, f := range []struct {
		name    string
		faults  standin.Faults
		written bool
	}{
		{"down", standin.Faults{Down: true}, false},
		{"silent", standin.Faults{Silent: true}, false},
		{"slow", standin.Faults{Delay: catalogue.Duration(time.Second)}, false},
		{"response lost after the write", standin.Faults{LoseResponses: 1}, true},
	} {
		t.Run(f.name, func(t *testing.T) {
			s, c := startService(t)
			s.SetFaults(f.faults)
			_, err := c.CompareAndSwap(ctx, "k", 0, []byte("x"))
			require.Error(t, err)
			var conflict *platform.ConflictError
			require.NotErrorAs(t, err, &conflict)
			s.SetFaults(standin.Faults{})
			v, err := c.Get(ctx, "k")
			require.NoError(t, err)
			require.Equal(t, f.written, v.Version == 1)
		})
	}
}

// Guards against a stand-in whose instance list does not lag.
func TestInstanceListLags(t *testing.T) {
	s, c := startService(t)
	s.SetFaults(standin.Faults{ListDelay: catalogue.Duration(150 * time.Millisecond)})
	s.Register(platform.ListedInstance{ID: "instance-a", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	list, err := c.ListInstances(ctx)
	require.NoError(t, err)
	require.Empty(t, list)
	require.Eventually(t, func() bool {
		list, err = c.ListInstances(ctx)
		return err == nil && len(list) == 1
	}, 5*time.Second, 10*time.Millisecond)
	s.Unregister("instance-a")
	list, err = c.ListInstances(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1)
}

// Guards against calls that are not observed; the service bills each one.
func TestCallsAreCounted(t *testing.T) {
	s, c := startService(t)
	kinds := map[string]int{}
	c.Observe = func(kind string, _ time.Duration, _ error) { kinds[kind]++ }
	_, _ = c.Get(ctx, "k")
	_, _ = c.CompareAndSwap(ctx, "k", 0, nil)
	_, _ = c.Watch(ctx, "k", 0, time.Millisecond)
	_, _ = c.AcquireLease(ctx, "l", "h", time.Second)
	_, _ = c.ListInstances(ctx)
	require.Equal(t, map[string]int64{"get": 1, "swap": 1, "watch": 1, "lease": 1, "list": 1}, s.CallCounts())
	require.Equal(t, map[string]int{"get": 1, "swap": 1, "watch": 1, "lease": 1, "list": 1}, kinds)
}
