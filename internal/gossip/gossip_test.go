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

func startSocket(t *testing.T, others *[]netip.AddrPort) *Socket {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	return &Socket{Conn: c, Members: func() []netip.AddrPort { return *others }}
}

func addressOf(s *Socket) netip.AddrPort { return s.Conn.LocalAddr().(*net.UDPAddr).AddrPort() }

type told struct {
	instance string
	progress Progress
}

// Guards against work in progress that other instances do not hear of, also after a lost datagram.
func TestLoadsAreToldAndRepeated(t *testing.T) {
	var toB, toA []netip.AddrPort
	a, b := startSocket(t, &toB), startSocket(t, &toA)
	// The second address is that of an instance that is gone.
	toB = []netip.AddrPort{addressOf(b), netip.MustParseAddrPort("127.0.0.1:9")}
	heard := make(chan told, 16)
	in := &Loads{Instance: "b", Take: func(_ time.Time, instance string, p Progress) {
		heard <- told{instance, p}
	}}
	b.Handle(KindLoads, in.Receive)
	changed := make(chan struct{}, 1)
	want := told{"a", Progress{Shares: map[string]engine.Share{"e": {Running: 2, Pending: 1}}, Lost: []string{"x"}, Gone: []string{"y"}}}
	out := &Loads{Socket: a, Instance: "a", Changed: changed, Own: func(time.Time) Progress { return want.progress }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, run := range []func(context.Context) error{a.Run, b.Run, out.Run} {
		go func() { _ = run(ctx) }()
	}
	changed <- struct{}{}
	for range 2 {
		select {
		case got := <-heard:
			require.Equal(t, want, got)
		case <-time.After(3 * time.Second):
			t.Fatal("no message came")
		}
	}
}

// Guards against messages that are cut or that end the receiver.
func TestBadMessagesAreDropped(t *testing.T) {
	var none []netip.AddrPort
	s := startSocket(t, &none)
	require.False(t, s.Tell(KindNews, make([]byte, MaxDatagram)))
	l := &Loads{Instance: "b", Take: func(time.Time, string, Progress) { t.Error("taken") }}
	for _, m := range []string{"", "{", `{"instance":""}`, `{"instance":"b"}`, `[]`} {
		l.Receive(time.Now(), []byte(m))
	}
}
