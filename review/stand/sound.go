package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// soundCalls are calls that nothing is wrong with.
type soundCalls struct {
	mu   sync.Mutex
	list []soundCall
}

type soundCall struct {
	id     string
	answer *answer
}

func (s *soundCalls) add(id string, a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, soundCall{id, a})
}

// counts returns how many calls were served, and how many got no answer of their engine though they had run.
func (s *soundCalls) counts(d *deployment) (served, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.list {
		switch {
		case c.answer.served():
			served++
		case d.runsOf(c.id) > 0:
			lost++
		}
	}
	return served, lost
}

// startSoundCalls sends calls to all instances until end.
func (d *deployment) startSoundCalls(every time.Duration, end time.Time) *soundCalls {
	s := &soundCalls{}
	d.calls.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			r := &request{id: newID("sound"), method: http.MethodPost, path: pathUnsafe + "sound", key: keys[1], body: fmt.Appendf(nil, "return %d", i), timeout: 1500 * time.Millisecond, instance: d.anyInstance()}
			if i%3 == 0 {
				r.method, r.path, r.body = http.MethodGet, fmt.Sprintf("%s%d", pathSafe, i), nil
			}
			d.calls.Go(func() { s.add(r.id, d.send(r)) })
			time.Sleep(every)
		}
	})
	return s
}

func (d *deployment) anyInstance() *instance { return d.instances[rand.IntN(len(d.instances))] }
