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
	// Read and Write are the tokens that the requests are expected to have still to read and to write, Memory the tokens
	// that they are expected to keep. They are stated only for pools that use expected work, and all of them are 0 otherwise.
	Read   float64 `json:"read,omitempty"`
	Write  float64 `json:"write,omitempty"`
	Memory float64 `json:"memory,omitempty"`
}

// remoteCounts are the counts last received from another instance.
type remoteCounts struct {
	receivedAt time.Time
	byTarget   map[string]RequestCounts
}

// remoteSums holds the sums of the other instances' counts by target, so that a choice among thousands of targets need
// not visit every instance for each of them.
type remoteSums struct {
	byTarget map[string]RequestCounts
	// oldest is not after the time of the oldest counts in the sums.
	oldest time.Time
}

// add adds the counts of an instance n times; n is 1 or -1.
func (s *remoteSums) add(counts map[string]RequestCounts, n int) {
	for name, c := range counts {
		sum := s.byTarget[name]
		sum.Running += n * c.Running
		sum.Pending += n * c.Pending
		if sum == (RequestCounts{}) {
			delete(s.byTarget, name)
			continue
		}
		s.byTarget[name] = sum
	}
}

// SetRemoteCounts stores the counts received from another instance, by target; the map must not be changed afterwards.
func (p *Pool) SetRemoteCounts(now time.Time, instance string, counts map[string]RequestCounts) {
	if p.remote == nil {
		p.remote, p.remoteSums.byTarget = map[string]remoteCounts{}, map[string]RequestCounts{}
	}
	p.remoteSums.add(p.remote[instance].byTarget, -1)
	p.remoteSums.add(counts, 1)
	if len(p.remote) == 0 || now.Before(p.remoteSums.oldest) {
		p.remoteSums.oldest = now
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
	if now.Sub(p.remoteSums.oldest) > remoteCountsTTL {
		p.dropExpired(now)
	}
	return p.remoteSums.byTarget[name]
}

// dropExpired removes the counts of instances that have not renewed them.
func (p *Pool) dropExpired(now time.Time) {
	oldest := now
	for instance, counts := range p.remote {
		if now.Sub(counts.receivedAt) > remoteCountsTTL {
			p.remoteSums.add(counts.byTarget, -1)
			delete(p.remote, instance)
			continue
		}
		if counts.receivedAt.Before(oldest) {
			oldest = counts.receivedAt
		}
	}
	p.remoteSums.oldest = oldest
}

// InProgress returns the sum of all instances' counts for some targets.
func (p *Pool) InProgress(now time.Time, names []string) RequestCounts {
	sum := RequestCounts{}
	for _, name := range names {
		there := p.remoteTotal(now, name)
		if t := p.targets[name]; t != nil {
			there.Running, there.Pending = there.Running+t.running, there.Pending+t.pending
		}
		sum.Running, sum.Pending = sum.Running+there.Running, sum.Pending+there.Pending
	}
	return sum
}

// ProgressCounts counts the requests in progress at a target: those of this instance, and those of all.
type ProgressCounts struct{ Own, All int }

// CountsOf returns the requests in progress at a target.
func (p *Pool) CountsOf(now time.Time, name string) ProgressCounts {
	n := ProgressCounts{All: max(p.remoteTotal(now, name).Running, 0)}
	if t := p.targets[name]; t != nil {
		n.Own, n.All = t.running, n.All+t.running
	}
	return n
}
