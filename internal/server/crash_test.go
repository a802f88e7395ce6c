package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/booking"
)

// TestMarkedRequestIsStoppedAtRegistration guards against an attempt that is placed just before its
// request is marked, is registered just after that, and crashes a third target.
func TestMarkedRequestIsStoppedAtRegistration(t *testing.T) {
	k := &callState{crashes: crashTable{running: map[string]map[*targetRequest]struct{}{}, detector: booking.CrashDetector{Retention: time.Minute, MaxCrashes: 9}}}
	now := time.Now()
	request := booking.CrashRequest{Digest: "poison", Position: 150, AgeMillis: 1500, Output: true, FirstMillis: 10}
	var marked []string
	for i, target := range []string{"engine-0", "engine-1"} {
		at := now.Add(time.Duration(i) * time.Millisecond).UnixMilli()
		marked = append(marked, k.crashes.detector.RecordCrash(now, booking.Crash{Target: target, At: at, Requests: []booking.CrashRequest{request}})...)
	}
	require.Equal(t, []string{"poison"}, marked)
	stopped := 0
	stop := func() { stopped++ }
	_, unregister := k.registerRequest("engine-5", "poison", 44, stop)
	unregister()
	require.Equal(t, 1, stopped)
	_, unregister = k.registerRequest("engine-5", "innocent", 44, stop)
	unregister()
	require.Equal(t, 1, stopped)
}
