package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// echoInterval is the interval between two small datagrams that others return.
	echoInterval = 100 * time.Millisecond
	// slowEcho is the round trip from which datagrams count as waiting in a queue; between data centres of one region
	// it takes some milliseconds.
	slowEcho = 250 * time.Millisecond
	// echoRun is the number of consecutive echoes that decide, slow ones of as many instances: some may be lost or paused.
	echoRun = 4
	// forgottenEcho is the age at which an echo counts as lost, and its instance as one that may not answer.
	forgottenEcho = 10 * time.Second
	// minPacedRate and maxPacedRate bound a limited rate, in bytes a second; above the latter there is no limit.
	minPacedRate = 4 << 10
	maxPacedRate = 1 << 20
	// pacedBurst is the time for which unused rate is kept.
	pacedBurst = 200 * time.Millisecond
)

// pacer decides how many datagrams of progress may be sent, such that they don't fill the queue of this instance's own link: what waits
// behind them there, such as calls to the store or answers to callers, would be late for seconds.
//
// It has no access to the link's rate, so it sends small datagrams that others return. When several in a row
// take long, the rate is halved; when they don't, it grows by a sixteenth.
type pacer struct {
	// rate is the limit in bytes a second, or 0 if there is none.
	rate   float64
	tokens float64
	at     time.Time
	// used is the mean of the bytes a second that were sent.
	used   float64
	echoes []echo
	nextID uint64
	// nextPeer is the position of the next instance to get an echo.
	nextPeer int
	// answering holds the instances that have returned an echo; builds that don't know echoes never do.
	answering map[netip.AddrPort]bool
}

type echo struct {
	id     uint64
	to     netip.AddrPort
	sentAt time.Time
	// judged is set if the instance is known to return echoes.
	judged    bool
	roundTrip time.Duration
}

// take returns how many of a number of datagrams may be sent.
func (p *pacer) take(now time.Time, size, count int) int {
	p.refill(now)
	if p.rate > 0 {
		count = min(count, int(p.tokens)/size)
		p.tokens -= float64(count * size)
	}
	p.used += float64(count * size)
	return count
}

// refill adds the tokens of the time since the last call. The use of a second ago has nearly gone from the mean.
func (p *pacer) refill(now time.Time) {
	elapsed := now.Sub(p.at).Seconds()
	if p.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.at = now
	p.used *= max(1-elapsed, 0)
	p.tokens = min(p.tokens+p.rate*elapsed, max(p.rate*pacedBurst.Seconds(), MaxDatagram))
}

// nextEcho records the next echo and returns the instance for it: those that are known to answer in turn, if there are any, but for
// each eighth echo.
func (p *pacer) nextEcho(now time.Time, peers []netip.AddrPort) (id uint64, to netip.AddrPort, ok bool) {
	if len(peers) == 0 {
		return 0, netip.AddrPort{}, false
	}
	p.nextID++
	to = peers[rand.IntN(len(peers))]
	for i := 0; i < len(peers) && p.nextID%8 != 0; i++ {
		if at := (p.nextPeer + i) % len(peers); p.answering[peers[at]] {
			to, p.nextPeer = peers[at], at+1
			break
		}
	}
	p.echoes = append(p.echoes, echo{id: p.nextID, to: to, sentAt: now, judged: p.answering[to]})
	return p.nextID, to, true
}

// recordEcho records that an instance has returned an echo.
func (p *pacer) recordEcho(now time.Time, id uint64, from netip.AddrPort) {
	for i := range p.echoes {
		if e := &p.echoes[i]; e.id == id && e.to == from && e.roundTrip == 0 {
			e.roundTrip = max(now.Sub(e.sentAt), 1)
			if p.answering == nil {
				p.answering = map[netip.AddrPort]bool{}
			}
			p.answering[from] = true
		}
	}
}

// adjust changes the rate after what the last echoes show, and reports whether a limit began or ended.
func (p *pacer) adjust(now time.Time) (changed bool) {
	p.refill(now)
	for len(p.echoes) > 0 && now.Sub(p.echoes[0].sentAt) > forgottenEcho {
		if p.echoes[0].roundTrip == 0 {
			delete(p.answering, p.echoes[0].to)
		}
		p.echoes = p.echoes[1:]
	}
	slow, fast := p.count(now)
	limited := p.rate > 0
	switch {
	case slow == echoRun:
		if !limited {
			p.rate = min(p.used, maxPacedRate)
		}
		p.rate = max(p.rate/2, minPacedRate)
	case fast == echoRun && limited:
		if p.rate += p.rate / 16; p.rate > maxPacedRate {
			p.rate = 0
		}
	}
	return limited != (p.rate > 0)
}

// count returns how many of the last echoes were slow and how many were not; those of which neither is known yet are left
// out. Of each instance one slow echo counts, since it may be the instance that is lost or paused.
func (p *pacer) count(now time.Time) (slow, fast int) {
	counted := make([]netip.AddrPort, 0, echoRun)
	for i := len(p.echoes) - 1; i >= 0 && slow+fast < echoRun; i-- {
		e := &p.echoes[i]
		switch {
		case !e.judged:
		case e.roundTrip >= slowEcho || e.roundTrip == 0 && now.Sub(e.sentAt) >= slowEcho:
			if !slices.Contains(counted, e.to) {
				counted = append(counted, e.to)
				slow++
			}
		case e.roundTrip > 0:
			fast++
		}
	}
	return slow, fast
}
