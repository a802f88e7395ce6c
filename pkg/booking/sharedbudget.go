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

// Sendings counts first sendings and repeats within a window.
type Sendings struct {
	First   int `json:"first"`
	Repeats int `json:"repeats"`
}

// SharedBudget bounds what all instances together send again within a sliding window.
//
// Each instance tells the others its Sendings. While all together are well below the bound, an
// instance repeats as it needs to, so that one with many lost streams is not held back by its
// own small part; above that it keeps to its part. Set the exported fields before the first call.
type SharedBudget struct {
	// Share is the number of repeats for each first sending, Slack that of repeats beyond.
	Share  float64
	Slack  float64
	Window time.Duration

	slices [budgetSlices]Sendings
	// newest is the number of the slice that is counted now.
	newest int64
	others map[string]toldSendings
}

// toldSendings are the sendings of another instance.
type toldSendings struct {
	Sendings
	at time.Time
}

// Earn counts a first sending.
func (b *SharedBudget) Earn(now time.Time) { b.slice(now).First++ }

// Spend takes leave for one more sending and reports whether there was any.
func (b *SharedBudget) Spend(now time.Time, instances int) bool {
	own := b.Own(now)
	all := b.all(now, own)
	if float64(all.Repeats+1) > caution*b.allowed(all.First, 1) && float64(own.Repeats+1) > ownCaution*b.allowed(own.First, instances) {
		return false
	}
	b.slice(now).Repeats++
	return true
}

// allowed returns the repeats of one of so many instances.
func (b *SharedBudget) allowed(first, instances int) float64 {
	return b.Share*float64(first) + b.Slack/float64(max(instances, 1))
}

// Own returns this instance's sendings within the window.
func (b *SharedBudget) Own(now time.Time) Sendings {
	b.slice(now)
	sum := Sendings{}
	for _, s := range b.slices {
		sum.First += s.First
		sum.Repeats += s.Repeats
	}
	return sum
}

// Others takes in the sendings of another instance.
func (b *SharedBudget) Others(now time.Time, instance string, s Sendings) {
	if b.others == nil {
		b.others = map[string]toldSendings{}
	}
	b.others[instance] = toldSendings{Sendings: s, at: now}
}

// all adds the sendings of other instances, as long as they are not older than the window.
func (b *SharedBudget) all(now time.Time, own Sendings) Sendings {
	for instance, s := range b.others {
		if now.Sub(s.at) > b.Window {
			delete(b.others, instance)
			continue
		}
		own.First += s.First
		own.Repeats += s.Repeats
	}
	return own
}

// slice returns the part of the window that is counted now and clears those that are over.
func (b *SharedBudget) slice(now time.Time) *Sendings {
	n := now.UnixNano() / max(int64(b.Window)/budgetSlices, 1)
	if n-b.newest >= budgetSlices || n < b.newest {
		b.slices = [budgetSlices]Sendings{}
		b.newest = n
	}
	for b.newest < n {
		b.newest++
		b.slices[b.newest%budgetSlices] = Sendings{}
	}
	return &b.slices[n%budgetSlices]
}
