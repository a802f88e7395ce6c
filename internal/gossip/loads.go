package gossip

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// gather is the shortest time between two messages, for each instance of the deployment, so
	// that what an instance receives does not grow with their number.
	gather = time.Millisecond
	// renew is the time after which a message is repeated without a change, since datagrams are lost.
	renew = time.Second
)

// loadMessage is what one instance has in progress.
type loadMessage struct {
	Instance string `json:"instance"`
	// Shares holds the requests by target.
	Shares map[string]engine.Share `json:"shares"`
	// Lost names the targets whose connections were lately lost.
	Lost []string `json:"lost,omitempty"`
}

// Loads tells other instances what this one has in progress; set its exported fields before Run.
type Loads struct {
	Socket   *Socket
	Instance string
	// Own returns what this instance has in progress, and the targets that it lately lost.
	Own func(now time.Time) (shares map[string]engine.Share, lost []string)
	// Changed tells that Own has changed.
	Changed <-chan struct{}
	// Take takes in what another instance tells.
	Take func(now time.Time, instance string, shares map[string]engine.Share, lost []string)
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
		m := loadMessage{Instance: l.Instance}
		m.Shares, m.Lost = l.Own(time.Now())
		empty = len(m.Shares) == 0
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

// tell sends a message, without the lost targets if it is too long with them.
func (l *Loads) tell(m *loadMessage) error {
	for {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "loads")
		}
		if l.Socket.Tell(KindLoads, data) || len(m.Lost) == 0 {
			return nil
		}
		m.Lost = nil
	}
}

// Receive takes a message of another instance.
func (l *Loads) Receive(now time.Time, data []byte) {
	m := loadMessage{}
	if json.Unmarshal(data, &m) == nil && m.Instance != "" && m.Instance != l.Instance {
		l.Take(now, m.Instance, m.Shares, m.Lost)
	}
}
