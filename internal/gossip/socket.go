package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// MaxDatagram bounds a message; it fits into one packet of most networks.
const MaxDatagram = 1400

// Kind tells messages on one socket apart; it is their first byte.
type Kind byte

// The kinds of messages.
const (
	// KindLoads is a message of Loads.
	KindLoads Kind = 'l'
	// KindNews tells of changes in the platform's store.
	KindNews Kind = 'n'
	// KindCrash tells of requests that crash targets.
	KindCrash Kind = 'c'
)

// Socket sends and takes messages; call Handle before Run.
type Socket struct {
	Conn *net.UDPConn
	// Members returns the addresses of the other instances.
	Members func() []netip.AddrPort

	handlers [256]func(now time.Time, data []byte)
}

// Handle sets what takes the messages of a kind; data is valid during the call only.
func (s *Socket) Handle(k Kind, f func(now time.Time, data []byte)) { s.handlers[k] = f }

// Tell sends a message to all members and reports whether it fits into a datagram.
func (s *Socket) Tell(k Kind, data []byte) bool {
	if len(data) >= MaxDatagram {
		return false
	}
	packet := append([]byte{byte(k)}, data...)
	for _, to := range s.Members() {
		// A member that can't be reached is told with the next message.
		_, _ = s.Conn.WriteToUDPAddrPort(packet, to)
	}
	return true
}

// Run takes messages until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	buf := make([]byte, MaxDatagram)
	for {
		n, _, err := s.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || n == 0 {
			// The answer of a machine without the port arrives as an error of the socket.
			continue
		}
		if f := s.handlers[buf[0]]; f != nil {
			f(time.Now(), buf[1:n])
		}
	}
}
