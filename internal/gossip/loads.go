package gossip

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// gather is the shortest time between two messages, for each instance of the deployment, so
	// that what an instance receives does not grow with their number.
	gather = time.Millisecond
	// renew is the time after which a message is repeated without a change, since datagrams are lost.
	renew = time.Second
)

// Progress is what one instance has in progress at targets and has lately seen of them.
type Progress struct {
	// Shares holds the requests by target.
	Shares map[string]engine.Share `json:"shares"`
	// Sendings are those of the last window, by pool.
	Sendings map[string]booking.SendCounts `json:"sendings,omitempty"`
	// Lost names the targets that lately went silent, Gone those at whose address another
	// incarnation answers.
	Lost []string `json:"lost,omitempty"`
	Gone []string `json:"gone,omitempty"`
	// Successors names the incarnations that this instance has found at the addresses of lost
	// targets, by the target that each follows.
	Successors map[string]string `json:"successors,omitempty"`
}

type loadMessage struct {
	Instance string `json:"instance"`
	Progress
}

// Loads tells other instances what this one has in progress; set its exported fields before Run.
type Loads struct {
	Socket   *Socket
	Instance string
	// Own returns what this instance tells.
	Own func(now time.Time) Progress
	// Changed tells that Own has changed.
	Changed <-chan struct{}
	// Take takes in what another instance tells.
	Take func(now time.Time, instance string, told Progress)
}

// Run sends messages until ctx ends.
func (l *Loads) Run(ctx context.Context) error {
	repeat := time.NewTicker(renew)
	defer repeat.Stop()
	empty := true
	for {
		select {
		case <-l.Changed:
		case <-repeat.C:
			if empty {
				continue
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		m := loadMessage{Instance: l.Instance, Progress: l.Own(time.Now())}
		empty = len(m.Shares)+len(m.Sendings)+len(m.Successors) == 0
		if err := l.tell(&m); err != nil {
			return err
		}
		pause := time.NewTimer(gather * time.Duration(len(l.Socket.Members())+1))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return ctx.Err()
		}
	}
}

// tell sends a message, with the shares alone if it is too long with all.
func (l *Loads) tell(m *loadMessage) error {
	for {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "loads")
		}
		if l.Socket.Tell(KindLoads, data) || len(m.Lost)+len(m.Gone)+len(m.Successors) == 0 {
			return nil
		}
		m.Lost, m.Gone, m.Successors = nil, nil, nil
	}
}

// Receive takes a message of another instance.
func (l *Loads) Receive(now time.Time, data []byte) {
	m := loadMessage{}
	if json.Unmarshal(data, &m) == nil && m.Instance != "" && m.Instance != l.Instance {
		l.Take(now, m.Instance, m.Progress)
	}
}
