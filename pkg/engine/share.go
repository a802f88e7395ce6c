package engine

import "time"

// remoteCountsTTL is how long the counts of another instance are used; they are sent each second,
// and one or two datagrams may be lost.
const remoteCountsTTL = 3 * time.Second

// RequestCounts counts the requests of one instance that are in progress at a target.
type RequestCounts struct {
	// Running is the number of requests, Pending the number of those without output.
	Running int `json:"running"`
	Pending int `json:"pending,omitempty"`
}

// remoteCounts are the counts last received from another instance.
type remoteCounts struct {
	receivedAt time.Time
	byTarget   map[string]RequestCounts
}

// SetRemoteCounts stores the counts received from another instance, by target.
func (p *Pool) SetRemoteCounts(now time.Time, instance string, counts map[string]RequestCounts) {
	if p.remote == nil {
		p.remote = map[string]remoteCounts{}
	}
	p.remote[instance] = remoteCounts{receivedAt: now, byTarget: counts}
}

// LocalCounts returns the counts of this instance's requests, by target.
func (p *Pool) LocalCounts() map[string]RequestCounts {
	out := map[string]RequestCounts{}
	for name, t := range p.targets {
		if t.running > 0 {
			out[name] = RequestCounts{Running: t.running, Pending: t.pending}
		}
	}
	return out
}

// RecordFirstOutput records that a request of this instance received its first output.
func (p *Pool) RecordFirstOutput(name string) {
	t := p.target(name)
	t.pending = max(t.pending-1, 0)
}

// remoteTotal returns the sum of the other instances' counts for a target.
func (p *Pool) remoteTotal(now time.Time, name string) RequestCounts {
	sum := RequestCounts{}
	for instance, counts := range p.remote {
		if now.Sub(counts.receivedAt) > remoteCountsTTL {
			delete(p.remote, instance)
			continue
		}
		there := counts.byTarget[name]
		sum.Running += there.Running
		sum.Pending += there.Pending
	}
	return sum
}

// ProgressCounts counts the requests in progress at a target: those of this instance, and those of all.
type ProgressCounts struct{ Own, All int }

// CountsByTarget returns the requests in progress by target.
func (p *Pool) CountsByTarget(now time.Time) map[string]ProgressCounts {
	counts := map[string]ProgressCounts{}
	for name, t := range p.targets {
		if t.running > 0 {
			counts[name] = ProgressCounts{t.running, t.running}
		}
	}
	for _, remote := range p.remote {
		if now.Sub(remote.receivedAt) > remoteCountsTTL {
			continue
		}
		for name, there := range remote.byTarget {
			n := counts[name]
			n.All += there.Running
			counts[name] = n
		}
	}
	return counts
}
