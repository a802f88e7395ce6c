package usage

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bambooferry.example/bambooferry/pkg/usage"
)

const (
	// unchangedInterval is the time between two messages while the totals don't change.
	unchangedInterval = time.Second
	// acknowledgeInterval is the least time between two acknowledgements to an instance. With many instances it is
	// acknowledgeSpacing for each, so that the holder sends 12.5 KB a second at most, at 150 bytes each.
	acknowledgeInterval = time.Second
	acknowledgeSpacing  = 12 * time.Millisecond
	// countsPause is the time without counts of others after which this instance may have missed some.
	countsPause = 2500 * time.Millisecond
)

// acknowledgement is the last one to an instance, under the term with a token.
type acknowledgement struct {
	at    time.Time
	token int64
}

// Flush sends the last counts of this instance, which has ended to serve requests.
func (r *Reporter) Flush(ctx context.Context) {
	r.init()
	r.exchange(ctx)
}

// exchange sends this instance's totals to the holder and the next candidates.
func (r *Reporter) exchange(context.Context) {
	now := r.Now()
	destinations := r.Destinations()
	r.mu.Lock()
	r.updateClock(now)
	message := usage.Counts{Instance: r.Address.String(), Incarnation: r.Incarnation, ClockMillis: r.WallClock().UnixMilli()}
	trueNow := r.estimate.At(now)
	r.clock.RecordSent(now, message.ClockMillis)
	var untold, told []netip.AddrPort
	for _, to := range destinations {
		switch {
		case to == r.Address:
		case r.told[to]:
			told = append(told, to)
		default:
			untold = append(untold, to)
		}
	}
	r.told = map[netip.AddrPort]bool{}
	for _, to := range destinations {
		r.told[to] = true
	}
	pause := now.Sub(r.lastSent)
	r.mu.Unlock()

	current := usage.WindowOf(trueNow, r.Window)
	since, all := usage.Selection(now, trueNow, r.Window)
	message.Windows = usage.Totals{}
	r.appendTotals(message.Windows, current, since, all)
	if len(message.Windows) > 0 || pause >= unchangedInterval-usage.SendInterval/2 {
		r.sendCounts(&message, told)
		r.mu.Lock()
		r.lastSent = now
		r.mu.Unlock()
	}
	if len(untold) > 0 {
		r.appendTotals(message.Windows, current, time.Time{}, all)
		r.sendCounts(&message, untold)
	}
}

func (r *Reporter) sendCounts(m *usage.Counts, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	list, err := m.Encode()
	if err != nil {
		return
	}
	for _, data := range list {
		for _, a := range to {
			r.Messenger.SendCounts(data, a)
		}
	}
}

// HandleCounts processes the counts of another instance. The time of the socket's clock is not used.
func (r *Reporter) HandleCounts(_ time.Time, data []byte) {
	m, err := usage.DecodeCounts(data)
	if err != nil || m.Instance == r.Address.String() {
		return
	}
	r.init()
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastCountsAt) > countsPause {
		r.collectingSince = now
	}
	r.lastCountsAt = now
	r.clock.ObserveStatement(now, m.Instance, time.UnixMilli(m.ClockMillis))
	r.reject(m.Instance, r.collector.Add(now, usage.WindowOf(r.estimate.At(now), r.Window), m))
	r.acknowledge(now, m)
}

// acknowledge answers counts if this instance holds the duty; the caller holds mu.
func (r *Reporter) acknowledge(now time.Time, m *usage.Counts) {
	term, held := r.Tenure.Term(now)
	last := r.acknowledged[m.Instance]
	interval := max(acknowledgeInterval, time.Duration(len(r.acknowledged))*acknowledgeSpacing)
	to, err := netip.ParseAddrPort(m.Instance)
	if !held || err != nil || last.token == term.Token && now.Sub(last.at) < interval {
		return
	}
	if len(r.acknowledged) >= usage.MaxInstances {
		clear(r.acknowledged)
	}
	r.acknowledged[m.Instance] = acknowledgement{at: now, token: term.Token}
	r.updateEstimate(now)
	window, hash := r.planner.Recorded()
	data, err := json.Marshal(&usage.Acknowledgement{
		Instance: r.Address.String(), TrueMillis: r.estimate.At(now).UnixMilli(), BoundMillis: r.estimate.Bound.Milliseconds(), EchoMillis: m.ClockMillis,
		Recorded: window, RecordedHash: hash, Resend: last.token != term.Token,
	})
	if err == nil {
		r.Messenger.SendAcknowledgement(data, to)
	}
}

// HandleAcknowledgement processes the holder's answer to counts.
func (r *Reporter) HandleAcknowledgement(_ time.Time, data []byte) {
	m, err := usage.DecodeAcknowledgement(data)
	if err != nil || m.Instance == r.Address.String() {
		return
	}
	r.init()
	p := r.readNow()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Adopt(p.now, m) {
		r.updateEstimate(p.now)
	}
	status := r.status(p)
	r.planner.ObserveRecorded(&status, m.Recorded, m.RecordedHash)
	if from, err := netip.ParseAddrPort(m.Instance); err == nil && m.Resend {
		delete(r.told, from)
	}
}
