package gossip

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
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
	// KindEcho asks for a KindEchoReply with the same content.
	KindEcho      Kind = 'p'
	KindEchoReply Kind = 'q'
)

// Socket sends and receives messages; call Handle before Run.
type Socket struct {
	Conn *net.UDPConn
	// PeerAddresses returns the addresses of the other instances.
	PeerAddresses func() []netip.AddrPort
	// ObserveLimit, if set, is called when the rate of progress messages is limited to some bytes a second, since datagrams wait long
	// in this instance's link, and with 0 when it no longer is.
	ObserveLimit func(now time.Time, bytesPerSecond float64)

	mu    sync.Mutex
	pacer pacer
	// firstPeer is the position of the next instance to get a paced message.
	firstPeer int

	handlers [256]func(now time.Time, data []byte)
}

// Handle registers the handler for messages of a kind; data is valid during the call only.
func (s *Socket) Handle(k Kind, handler func(now time.Time, data []byte)) { s.handlers[k] = handler }

// Broadcast sends a message to all other instances and reports whether it fits into a datagram.
func (s *Socket) Broadcast(k Kind, data []byte) bool {
	return len(data) < MaxDatagram && s.Send(k, data, s.PeerAddresses())
}

// BroadcastPaced sends a message that later ones replace to the other instances, or to as many of them as the rate allows, and
// reports whether it fits into a datagram. The next message goes to those that this one has not reached first.
func (s *Socket) BroadcastPaced(now time.Time, k Kind, data []byte) bool {
	peers := s.PeerAddresses()
	if len(peers) == 0 || len(data) >= MaxDatagram {
		return len(data) < MaxDatagram
	}
	s.mu.Lock()
	n := s.pacer.take(now, len(data)+datagramOverhead, len(peers))
	first := s.firstPeer % len(peers)
	s.firstPeer = first + n
	s.mu.Unlock()
	for i := range n {
		s.Send(k, data, []netip.AddrPort{peers[(first+i)%len(peers)]})
	}
	return true
}

// IsLimited reports whether the rate of progress messages is limited.
func (s *Socket) IsLimited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.rate > 0
}

// datagramOverhead is the length of the headers of a datagram in bytes.
const datagramOverhead = 28

// RunPacing measures how long datagrams wait in this instance's link until ctx ends.
func (s *Socket) RunPacing(ctx context.Context) error {
	tick := time.NewTicker(echoInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		peers := s.PeerAddresses()
		s.mu.Lock()
		changed := s.pacer.adjust(now)
		rate := s.pacer.rate
		id, to, ok := s.pacer.nextEcho(now, peers)
		s.mu.Unlock()
		if changed && s.ObserveLimit != nil {
			s.ObserveLimit(now, rate)
		}
		if ok {
			s.Send(KindEcho, binary.BigEndian.AppendUint64(nil, id), []netip.AddrPort{to})
		}
	}
}

// handleEcho returns an echo, or records one that was returned.
func (s *Socket) handleEcho(now time.Time, data []byte, from netip.AddrPort) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	switch Kind(data[0]) {
	case KindEcho:
		if len(data) <= maxEcho {
			s.Send(KindEchoReply, data[1:], []netip.AddrPort{from})
		}
	case KindEchoReply:
		if len(data) == maxEcho {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pacer.recordEcho(now, binary.BigEndian.Uint64(data[1:]), from)
		}
	}
}

// maxEcho is the length of an echo: its kind and a number.
const maxEcho = 1 + 8

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
		n, from, err := s.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || n == 0 {
			// An ICMP "port unreachable" from an earlier send is returned as a read error.
			continue
		}
		s.handleEcho(time.Now(), buf[:n], from)
		if handler := s.handlers[buf[0]]; handler != nil {
			handler(time.Now(), buf[1:n])
		}
	}
}
