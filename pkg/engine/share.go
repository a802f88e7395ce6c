package engine

import "time"

// shareLife is how long another instance's shares count; they are renewed each second, and a
// datagram or two may be lost.
const shareLife = 3 * time.Second

// RequestCounts is what one instance has in progress at a target.
type RequestCounts struct {
	// Running is the number of requests there, Pending those of them that have no output yet.
	Running int `json:"running"`
	Pending int `json:"pending,omitempty"`
}

// others are the shares of another instance.
type others struct {
	at     time.Time
	shares map[string]RequestCounts
}

// SetRemoteCounts takes in what another instance has in progress.
func (p *Pool) SetRemoteCounts(now time.Time, instance string, shares map[string]RequestCounts) {
	if p.others == nil {
		p.others = map[string]others{}
	}
	p.others[instance] = others{at: now, shares: shares}
}

// LocalCounts returns what this instance has in progress, by target.
func (p *Pool) LocalCounts() map[string]RequestCounts {
	out := map[string]RequestCounts{}
	for name, t := range p.targets {
		if t.own > 0 {
			out[name] = RequestCounts{Running: t.own, Pending: t.pending}
		}
	}
	return out
}

// RecordFirstOutput notes that a request which the instance sent has brought its first output.
func (p *Pool) RecordFirstOutput(name string) {
	t := p.target(name)
	t.pending = max(t.pending-1, 0)
}

// elsewhere returns what other instances have in progress at a target.
func (p *Pool) elsewhere(now time.Time, name string) RequestCounts {
	sum := RequestCounts{}
	for instance, o := range p.others {
		if now.Sub(o.at) > shareLife {
			delete(p.others, instance)
			continue
		}
		s := o.shares[name]
		sum.Running += s.Running
		sum.Pending += s.Pending
	}
	return sum
}
