package gossip

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
)

func startSocket(t *testing.T, peers *[]netip.AddrPort) *Socket {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	return &Socket{Conn: c, PeerAddresses: func() []netip.AddrPort { return *peers }}
}

func addressOf(s *Socket) netip.AddrPort { return s.Conn.LocalAddr().(*net.UDPAddr).AddrPort() }

type receivedProgress struct {
	instance string
	progress Progress
}

// Guards against requests in progress that other instances never learn about, including after a
// lost datagram.
func TestProgressIsBroadcastAndRepeated(t *testing.T) {
	var peersOfA, peersOfB []netip.AddrPort
	a, b := startSocket(t, &peersOfA), startSocket(t, &peersOfB)
	// No instance listens at the second address.
	peersOfA = []netip.AddrPort{addressOf(b), netip.MustParseAddrPort("127.0.0.1:9")}
	received := make(chan receivedProgress, 16)
	receiver := &ProgressExchange{Instance: "b", ApplyRemote: func(_ time.Time, instance string, p Progress) {
		received <- receivedProgress{instance, p}
	}}
	b.Handle(KindProgress, receiver.HandleMessage)
	changed := make(chan struct{}, 1)
	want := receivedProgress{"a", Progress{InProgress: map[string]engine.RequestCounts{"e": {Running: 2, Pending: 1}}, SilentTargets: []string{"x"}, ReplacedTargets: []string{"y"}}}
	sender := &ProgressExchange{Socket: a, Instance: "a", LocalChanged: changed, LocalProgress: func(time.Time) Progress { return want.progress }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, run := range []func(context.Context) error{a.Run, b.Run, sender.Run} {
		go func() { _ = run(ctx) }()
	}
	changed <- struct{}{}
	for range 2 {
		select {
		case got := <-received:
			require.Equal(t, want, got)
		case <-time.After(3 * time.Second):
			t.Fatal("no message arrived")
		}
	}
}

// Guards against idle instances that can't be told from lost ones, and against messages of idle instances where nothing
// needs them.
func TestEmptyProgressIsRepeatedIfNeeded(t *testing.T) {
	for _, repeats := range []bool{false, true} {
		var peersOfA, peersOfB []netip.AddrPort
		a, b := startSocket(t, &peersOfA), startSocket(t, &peersOfB)
		peersOfA = []netip.AddrPort{addressOf(b)}
		received := make(chan string, 16)
		receiver := &ProgressExchange{Instance: "b", ApplyRemote: func(_ time.Time, instance string, _ Progress) { received <- instance }}
		b.Handle(KindProgress, receiver.HandleMessage)
		sender := &ProgressExchange{Socket: a, Instance: "a", LocalProgress: func(time.Time) Progress { return Progress{} }}
		if repeats {
			sender.RepeatsEmpty = func() bool { return true }
		}
		ctx, cancel := context.WithCancel(context.Background())
		for _, run := range []func(context.Context) error{a.Run, b.Run, sender.Run} {
			go func() { _ = run(ctx) }()
		}
		select {
		case <-received:
			require.True(t, repeats)
		case <-time.After(repeatInterval + repeatInterval/2):
			require.False(t, repeats)
		}
		cancel()
	}
}

// Guards against messages that are truncated or that crash the receiver.
func TestMalformedMessagesAreDropped(t *testing.T) {
	var none []netip.AddrPort
	s := startSocket(t, &none)
	require.False(t, s.Broadcast(KindStoreChanges, make([]byte, MaxDatagram)))
	x := &ProgressExchange{Instance: "b", ApplyRemote: func(time.Time, string, Progress) { t.Error("applied") }}
	for _, m := range []string{"", "{", `{"instance":""}`, `{"instance":"b"}`, `[]`} {
		x.HandleMessage(time.Now(), []byte(m))
	}
}

// Guards against an instance of a build without usage reports that stops receiving when it gets their messages.
func TestUnknownKindsAreDropped(t *testing.T) {
	var none []netip.AddrPort
	a, b := startSocket(t, &none), startSocket(t, &none)
	received := make(chan string, 1)
	b.Handle(KindProgress, func(_ time.Time, data []byte) { received <- string(data) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = b.Run(ctx) }()
	to := []netip.AddrPort{addressOf(b)}
	for _, k := range []Kind{KindUsageCounts, KindUsageAcknowledgement, KindProgress} {
		require.True(t, a.Send(k, []byte(`{"instance":"a"}`), to))
	}
	select {
	case got := <-received:
		require.Equal(t, `{"instance":"a"}`, got)
	case <-time.After(3 * time.Second):
		t.Fatal("no message arrived")
	}
}
