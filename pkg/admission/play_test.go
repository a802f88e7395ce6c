package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	playTick     = 5 * time.Millisecond
	playSlots    = 240
	playService  = 2 * time.Second
	playCapacity = playSlots / 2 // requests a second
	workspaces   = 24
	// warmUp is the time at the start that is not measured.
	warmUp = 5 * time.Second
)

// playKind is one kind of request; workspaces send one kind each.
type playKind struct {
	priority           int
	objective, timeout time.Duration
}

var playKinds = [2]playKind{{0, 4 * time.Second, 15 * time.Second}, {2, 10 * time.Second, 25 * time.Second}}

// wish is what a caller wants; it comes back when it is refused.
type wish struct {
	workspace, kind int
	askedAt         time.Time
	tries           int
}

// playRequest is one request of a wish at an instance.
type playRequest struct {
	*wish
	Request
}

type playInstance struct {
	name       string
	controller *Controller
	counts     booking.SharedRetryBudget
	running    int
	others     map[int]int
	heard      map[int]time.Time
	sent       map[int]time.Time
	dead       bool
	frozen     bool
	ticks      int
	// refusedUntil is until when the engines are known to refuse.
	refusedUntil time.Time
}

// play is a seeded run of instances in front of one pool, without a network. It is not run in real time.
type play struct {
	rng       *rand.Rand
	now       time.Time
	instances []*playInstance
	requests  map[string]*playRequest
	admission bool
	// demand returns the requests a second of a kind at a time.
	demand func(kind int, at time.Duration) float64
	// impatient reports whether the callers of a workspace come back at once when they are refused.
	impatient func(workspace int) bool
	sizes     [workspaces]float64
	running   int
	lastID    int
	reasons   map[Reason]int
	arrivals  map[int64][]func()

	asked, served [workspaces]float64
	// started counts the requests that engines began.
	started                   float64
	servedLate                int
	refusedAt, engineRefusals []time.Time
	// used is the sum of the running requests over the ticks after warmUp.
	used, measured float64
	kindUsed       [2]float64
}

func newPlay(seed uint64, instances int, admission bool) *play {
	p := &play{
		rng: rand.New(rand.NewPCG(seed, 1)), now: t0, requests: map[string]*playRequest{}, admission: admission, reasons: map[Reason]int{}, arrivals: map[int64][]func(){},
		demand:    func(kind int, _ time.Duration) float64 { return [2]float64{0.7, 1.3}[kind] * playCapacity },
		impatient: func(int) bool { return false },
	}
	for i := range instances {
		p.instances = append(p.instances, &playInstance{
			name:       fmt.Sprint(i),
			controller: &Controller{Seed: seed + uint64(i)}, counts: booking.SharedRetryBudget{Window: 10 * time.Second}, others: map[int]int{}, heard: map[int]time.Time{}, sent: map[int]time.Time{},
		})
	}
	for w := range p.sizes {
		p.sizes[w] = float64(1 + (w/2)%4)
	}
	return p
}

func (p *play) after(d time.Duration, f func()) {
	n := int64(p.now.Add(d).Sub(t0)/playTick) + 1
	p.arrivals[n] = append(p.arrivals[n], f)
}

func (p *play) elapsed() time.Duration { return p.now.Sub(t0) }

// run plays until a time since the start.
func (p *play) run(until time.Duration) {
	total := [2]float64{}
	for w, size := range p.sizes {
		total[w%2] += size
	}
	for p.elapsed() < until {
		p.now = p.now.Add(playTick)
		n := int64(p.elapsed() / playTick)
		for _, f := range p.arrivals[n] {
			f()
		}
		delete(p.arrivals, n)
		for w, size := range p.sizes {
			rate := p.demand(w%2, p.elapsed()) * size / total[w%2] * playTick.Seconds()
			for range p.poisson(rate) {
				if p.elapsed() > warmUp {
					p.asked[w]++
				}
				p.ask(&wish{workspace: w, kind: w % 2, askedAt: p.now})
			}
		}
		for i, in := range p.instances {
			p.step(i, in)
		}
		if p.elapsed() > warmUp {
			p.used += float64(p.running)
			p.measured++
		}
	}
}

func (p *play) poisson(mean float64) int {
	n := 0
	for t := p.rng.ExpFloat64(); t < mean; t += p.rng.ExpFloat64() {
		n++
	}
	return n
}

// step lets an instance look at what waits, and tell the others.
func (p *play) step(i int, in *playInstance) {
	if in.dead || in.frozen {
		return
	}
	in.ticks++
	if (in.ticks+3*i)%10 == 0 {
		p.settle(in)
	}
	if (in.ticks+7*i)%20 != 0 {
		return
	}
	running, arrivals, sentAt := in.running, in.counts.LocalCounts(p.now).Requests, p.now
	p.after(time.Duration(50+p.rng.IntN(150))*time.Millisecond, func() {
		for to, other := range p.instances {
			if to == i || other.dead || other.frozen || sentAt.Before(other.sent[i]) {
				continue
			}
			other.others[i], other.heard[i], other.sent[i] = running, p.now, sentAt
			other.controller.SetArrivals(p.now, in.name, arrivals)
		}
	})
}

// room returns what an instance knows of the room.
func (p *play) room(in *playInstance) Room {
	running := in.running
	for j, n := range in.others {
		if p.now.Sub(in.heard[j]) > 3*time.Second {
			delete(in.others, j)
			continue
		}
		running += n
	}
	room := Room{Slots: playSlots, Running: running, Own: in.running, ServiceTime: playService}
	if p.now.Before(in.refusedUntil) {
		room.Refusing = room.Free()
	}
	return room
}

// ask sends a request to a random instance, as a load balancer does.
func (p *play) ask(w *wish) {
	i := p.rng.IntN(len(p.instances))
	for p.instances[i].dead || p.instances[i].frozen {
		i = p.rng.IntN(len(p.instances))
	}
	in, kind := p.instances[i], playKinds[w.kind]
	p.lastID++
	deadline := p.now.Add(kind.timeout)
	r := &playRequest{w, Request{
		ID: fmt.Sprint(p.lastID), Workspace: fmt.Sprint(w.workspace), Priority: kind.priority, Size: 1 + p.rng.Float64(),
		Deadline: deadline, StartBy: LatestStart(p.now, kind.objective, deadline, 0),
	}}
	p.requests[r.ID] = r
	in.counts.RecordRequest(p.now)
	if !p.admission {
		p.begin(in, r)
		return
	}
	in.controller.SetArrivals(p.now, "", in.counts.LocalCounts(p.now).Requests)
	p.apply(in, in.controller.Decide(p.now, r.Request, p.room(in)))
	p.settle(in)
}

func (p *play) settle(in *playInstance) {
	if !p.admission {
		return
	}
	in.controller.SetArrivals(p.now, "", in.counts.LocalCounts(p.now).Requests)
	for _, v := range in.controller.Next(p.now, p.room(in)) {
		p.apply(in, v)
	}
}

func (p *play) apply(in *playInstance, v Verdict) {
	r := p.requests[v.ID]
	switch v.Decision {
	case Admit:
		p.begin(in, r)
	case Refuse:
		p.reasons[v.Reason]++
		delete(p.requests, v.ID)
		p.refusedAt = append(p.refusedAt, p.now)
		p.comeBack(r.wish, v.RetryAfter)
	case Wait:
	}
}

func (p *play) comeBack(w *wish, after time.Duration) {
	tries := 3
	if p.impatient(w.workspace) {
		after, tries = playTick, 30
	}
	if w.tries++; w.tries < tries {
		p.after(after, func() { p.ask(w) })
	}
}

// begin runs a request if an engine has a slot; otherwise the engines refuse it and it tries again until it is too late.
func (p *play) begin(in *playInstance, r *playRequest) {
	if in.dead {
		return
	}
	if p.running >= playSlots {
		in.controller.Started(r.ID)
		p.engineRefusals = append(p.engineRefusals, p.now)
		if p.admission {
			in.refusedUntil, r.Again = p.now.Add(100*time.Millisecond), true
			p.apply(in, in.controller.Decide(p.now, r.Request, p.room(in)))
			return
		}
		if retry := time.Duration(75+p.rng.IntN(50)) * time.Millisecond; p.now.Add(retry).Before(r.StartBy) {
			p.after(retry, func() { p.begin(in, r) })
			return
		}
		delete(p.requests, r.ID)
		p.refusedAt = append(p.refusedAt, p.now)
		p.comeBack(r.wish, 500*time.Millisecond)
		return
	}
	in.controller.Started(r.ID)
	p.running++
	in.running++
	if p.elapsed() > warmUp {
		p.started++
		kind := playKinds[r.kind]
		if p.now.After(LatestStart(r.askedAt, kind.objective, r.askedAt.Add(kind.timeout), 0)) {
			p.servedLate++
		} else {
			p.served[r.workspace]++
		}
	}
	p.after(time.Duration(float64(playService)*(0.7+0.6*p.rng.Float64())), func() { p.end(in, r) })
}

func (p *play) end(in *playInstance, r *playRequest) {
	if in.dead {
		return // its requests ended with it
	}
	p.running--
	if in.frozen {
		p.after(100*time.Millisecond, func() { in.running-- })
		return
	}
	delete(p.requests, r.ID)
	in.running--
	in.controller.Ended(p.now)
	p.settle(in)
}

// kill ends an instance; the engines notice the lost connections.
func (p *play) kill(i int) {
	p.instances[i].dead = true
	p.running -= p.instances[i].running
}

// worth returns the part of what a kind of request asked for that was served in time.
func (p *play) worth(kind int) float64 {
	asked, served := 0.0, 0.0
	for w := kind; w < workspaces; w += 2 {
		asked += p.asked[w]
		served += p.served[w]
	}
	return served / asked
}

// leastShare returns the least part that a workspace of a kind got of the mean served of the kind or, if it asked for less
// than that, of what it asked for; and the least worth of a workspace relative to that of the kind. Shares are equal, so
// that the worth of a workspace that asks for more is less.
func (p *play) leastShare(kind int) (ofMean, ofWorth float64) {
	mean := p.worth(kind) * p.demandOf(kind) / (workspaces / 2)
	ofMean, ofWorth = 9, 9
	for w := kind; w < workspaces; w += 2 {
		ofMean = min(ofMean, p.served[w]/min(mean, p.asked[w]))
		ofWorth = min(ofWorth, p.served[w]/p.asked[w]/p.worth(kind))
	}
	return ofMean, ofWorth
}

// log states the measured figures.
func (p *play) log(t *testing.T) {
	t.Helper()
	mean0, worth0 := p.leastShare(0)
	mean1, worth1 := p.leastShare(1)
	t.Logf("admission=%v, %d instances: worth %.3f and %.3f, least workspace %.2f and %.2f of the mean (%.2f and %.2f of the worth), room used %.3f, refused %d %v, by engines %d, late %d, switches %d",
		p.admission, len(p.instances), p.worth(0), p.worth(1), mean0, mean1, worth0, worth1, p.used/p.measured/playSlots, len(p.refusedAt), p.reasons, len(p.engineRefusals), p.servedLate, p.switches())
}

func (p *play) switches() (n int) {
	for _, in := range p.instances {
		n = max(n, in.controller.Switches())
	}
	return n
}

func (p *play) demandOf(kind int) (sum float64) {
	for w := kind; w < workspaces; w += 2 {
		sum += p.asked[w]
	}
	return sum
}

// instanceCounts returns the numbers of instances with which plays are run.
func instanceCounts() []int {
	if raceDetector {
		return []int{9}
	}
	return []int{9, 80}
}
