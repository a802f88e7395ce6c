package loads

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// gather is the shortest time between two messages, for each instance of the deployment, so
	// that what an instance receives does not grow with their number.
	gather = time.Millisecond
	// renew is the time after which a message is repeated without a change, since datagrams are lost.
	renew = time.Second
	// maxDatagram bounds a message; longer ones are not sent and not read.
	maxDatagram = 8 << 10
)

// message is what one instance has in progress.
type message struct {
	Instance string `json:"instance"`
	// Shares holds the requests by target.
	Shares map[string]engine.Share `json:"shares"`
	// Lost names the targets whose connections were lately lost.
	Lost []string `json:"lost,omitempty"`
}

// Exchange sends this instance's shares and takes those of others; set its exported fields before Run.
type Exchange struct {
	Conn     *net.UDPConn
	Instance string
	// Members returns the addresses of the other instances.
	Members func() []netip.AddrPort
	// Own returns what this instance has in progress, and the targets that it lately lost.
	Own func(now time.Time) (shares map[string]engine.Share, lost []string)
	// Changed tells that Own has changed.
	Changed <-chan struct{}
	// Take takes in what another instance tells.
	Take func(now time.Time, instance string, shares map[string]engine.Share, lost []string)
}

// Run exchanges messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	group.Go(func() error { return x.receive(ctx) })
	group.Go(func() error { return x.send(ctx) })
	return group.Wait()
}

func (x *Exchange) send(ctx context.Context) error {
	repeat := time.NewTicker(renew)
	defer repeat.Stop()
	empty := true
	for {
		select {
		case <-x.Changed:
		case <-repeat.C:
			if empty {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		members := x.Members()
		m := message{Instance: x.Instance}
		m.Shares, m.Lost = x.Own(time.Now())
		empty = len(m.Shares) == 0
		if err := x.tell(members, &m); err != nil {
			return err
		}
		pause := time.NewTimer(gather * time.Duration(len(members)+1))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		}
	}
}

// tell sends a message to all members. One that can't be reached is told with the next one.
func (x *Exchange) tell(members []netip.AddrPort, m *message) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "loads")
	}
	if len(data) > maxDatagram {
		return nil
	}
	for _, to := range members {
		_, _ = x.Conn.WriteToUDPAddrPort(data, to)
	}
	return nil
}

func (x *Exchange) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := x.Conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			// A port unreachable message of an instance that is gone arrives as an error.
			continue
		}
		m := message{}
		if json.Unmarshal(buf[:n], &m) == nil && m.Instance != "" && m.Instance != x.Instance {
			x.Take(time.Now(), m.Instance, m.Shares, m.Lost)
		}
	}
}
