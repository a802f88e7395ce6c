package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// MaxDatagram bounds a message; it fits into one packet of most networks.
const MaxDatagram = 1400

// Kind distinguishes the messages on one socket; it is their first byte.
type Kind byte

// The kinds of messages.
const (
	// KindProgress is a message of a ProgressExchange.
	KindProgress Kind = 'l'
	// KindStoreChanges reports changes in the platform's store.
	KindStoreChanges Kind = 'n'
	// KindEvidence carries results of a change of version.
	KindEvidence Kind = 'e'
	// KindReport carries all that an instance has counted for a change of version, and KindConfirmation the answer.
	KindReport       Kind = 'r'
	KindConfirmation Kind = 'k'
	// KindCrashReport reports requests that crash targets.
	KindCrashReport Kind = 'c'
	// KindUsageCounts carries the requests that an instance has counted, and KindUsageAcknowledgement the answer.
	KindUsageCounts          Kind = 'u'
	KindUsageAcknowledgement Kind = 'v'
)

// Socket sends and receives messages; call Handle before Run.
type Socket struct {
	Conn *net.UDPConn
	// PeerAddresses returns the addresses of the other instances.
	PeerAddresses func() []netip.AddrPort

	handlers [256]func(now time.Time, data []byte)
}

// Handle registers the handler for messages of a kind; data is valid during the call only.
func (s *Socket) Handle(k Kind, handler func(now time.Time, data []byte)) { s.handlers[k] = handler }

// Broadcast sends a message to all other instances and reports whether it fits into a datagram.
func (s *Socket) Broadcast(k Kind, data []byte) bool {
	return len(data) < MaxDatagram && s.Send(k, data, s.PeerAddresses())
}

// Send sends a message to some instances and reports whether it fits into a datagram.
func (s *Socket) Send(k Kind, data []byte, to []netip.AddrPort) bool {
	if len(data) >= MaxDatagram {
		return false
	}
	packet := append([]byte{byte(k)}, data...)
	for _, a := range to {
		// An instance that can't be reached receives the next message.
		_, _ = s.Conn.WriteToUDPAddrPort(packet, a)
	}
	return true
}

// Run receives messages until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	buf := make([]byte, MaxDatagram)
	for {
		n, _, err := s.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || n == 0 {
			// An ICMP "port unreachable" from an earlier send is returned as a read error.
			continue
		}
		if handler := s.handlers[buf[0]]; handler != nil {
			handler(time.Now(), buf[1:n])
		}
	}
}
