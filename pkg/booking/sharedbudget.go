package booking

import "time"

const (
	// budgetSlices is the number of parts of a window that are counted on their own.
	budgetSlices = 10
	// caution is the part of the common budget up to which each instance repeats without regard
	// to its own part, since what others tell is some hundred milliseconds old.
	caution = 0.7
	// ownCaution is the part of its own budget that an instance uses beyond that.
	ownCaution = 0.5
)

// SendCounts counts first sendings and repeats within a window.
type SendCounts struct {
	Requests int `json:"first"`
	Retries  int `json:"repeats"`
}

// SharedRetryBudget bounds what all instances together send again within a sliding window.
//
// Each instance tells the others its Sendings. While all together are well below the bound, an
// instance repeats as it needs to, so that one with many lost streams is not held back by its
// own small part; above that it keeps to its part. Set the exported fields before the first call.
type SharedRetryBudget struct {
	// Ratio is the number of repeats for each first sending, Slack that of repeats beyond.
	Ratio  float64
	Slack  float64
	Window time.Duration

	slices [budgetSlices]SendCounts
	// newest is the number of the slice that is counted now.
	newest int64
	others map[string]toldSendings
}

// toldSendings are the sendings of another instance.
type toldSendings struct {
	SendCounts
	at time.Time
}

// RecordRequest counts a first sending.
func (b *SharedRetryBudget) RecordRequest(now time.Time) { b.slice(now).Requests++ }

// AllowRetry takes leave for one more sending and reports whether there was any.
func (b *SharedRetryBudget) AllowRetry(now time.Time, instances int) bool {
	own := b.LocalCounts(now)
	all := b.all(now, own)
	if float64(all.Retries+1) > caution*b.allowed(all.Requests, 1) && float64(own.Retries+1) > ownCaution*b.allowed(own.Requests, instances) {
		return false
	}
	b.slice(now).Retries++
	return true
}

// allowed returns the repeats of one of so many instances.
func (b *SharedRetryBudget) allowed(first, instances int) float64 {
	return b.Ratio*float64(first) + b.Slack/float64(max(instances, 1))
}

// LocalCounts returns this instance's sendings within the window.
func (b *SharedRetryBudget) LocalCounts(now time.Time) SendCounts {
	b.slice(now)
	sum := SendCounts{}
	for _, s := range b.slices {
		sum.Requests += s.Requests
		sum.Retries += s.Retries
	}
	return sum
}

// SetRemoteCounts takes in the sendings of another instance.
func (b *SharedRetryBudget) SetRemoteCounts(now time.Time, instance string, s SendCounts) {
	if b.others == nil {
		b.others = map[string]toldSendings{}
	}
	b.others[instance] = toldSendings{SendCounts: s, at: now}
}

// all adds the sendings of other instances, as long as they are not older than the window.
func (b *SharedRetryBudget) all(now time.Time, own SendCounts) SendCounts {
	for instance, s := range b.others {
		if now.Sub(s.at) > b.Window {
			delete(b.others, instance)
			continue
		}
		own.Requests += s.Requests
		own.Retries += s.Retries
	}
	return own
}

// slice returns the part of the window that is counted now and clears those that are over.
func (b *SharedRetryBudget) slice(now time.Time) *SendCounts {
	n := now.UnixNano() / max(int64(b.Window)/budgetSlices, 1)
	if n-b.newest >= budgetSlices || n < b.newest {
		b.slices = [budgetSlices]SendCounts{}
		b.newest = n
	}
	for b.newest < n {
		b.newest++
		b.slices[b.newest%budgetSlices] = SendCounts{}
	}
	return &b.slices[n%budgetSlices]
}
