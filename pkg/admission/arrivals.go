package admission

import "time"

const (
	// binWidth is the resolution with which arrivals are kept.
	binWidth = 250 * time.Millisecond
	// recentTime is the time whose arrivals determine an instance's part of the room.
	recentTime = 2 * time.Second
	// newsTTL is the time without news after which an instance has no part of the room.
	newsTTL = 3 * time.Second
	// defaultWindow is the time that stated counts cover unless the owner says otherwise.
	defaultWindow = 10 * time.Second
)

// binnedCount holds the arrivals within a window, by bins of binWidth.
type binnedCount struct {
	bins []float64
	// last is the number of the newest bin.
	last    int64
	heardAt time.Time
}

func newBinnedCount(window time.Duration) *binnedCount {
	return &binnedCount{bins: make([]float64, max(int(window/binWidth), int(recentTime/binWidth)))}
}

func binOf(now time.Time) int64 { return now.UnixNano() / int64(binWidth) }

// advance drops the bins that have left the window.
func (b *binnedCount) advance(now time.Time) {
	n := binOf(now)
	if n <= b.last && b.last-n < int64(len(b.bins)) {
		return // the times of concurrent callers are not in order
	}
	if n < b.last || n-b.last >= int64(len(b.bins)) {
		clear(b.bins)
		b.last = n
	}
	for b.last < n {
		b.last++
		*b.bin(b.last) = 0
	}
}

func (b *binnedCount) bin(n int64) *float64 { return &b.bins[int(n%int64(len(b.bins)))] }

func (b *binnedCount) add(now time.Time, n float64) {
	b.advance(now)
	*b.bin(b.last) += n
	b.heardAt = now
}

// sum returns the arrivals in a time before the newest bin's end.
func (b *binnedCount) sum(d time.Duration) float64 {
	total := 0.0
	for i := range min(int64(d/binWidth), int64(len(b.bins))) {
		total += *b.bin(b.last - i)
	}
	return total
}

// setTotal takes over a stated number of arrivals within the window. What was not yet counted has come since the last
// statement; what is no longer stated are the oldest arrivals, since the window moves on in steps.
func (b *binnedCount) setTotal(now time.Time, total float64) {
	b.advance(now)
	size := int64(len(b.bins))
	missing := total - b.sum(time.Duration(size)*binWidth)
	if missing > 0 {
		b.spread(now, missing)
	}
	for i := size - 1; i >= 0 && missing < 0; i-- {
		bin := b.bin(b.last - i)
		gone := min(*bin, -missing)
		*bin -= gone
		missing += gone
	}
	b.heardAt = now
}

// spread adds arrivals that have come evenly since the last statement.
func (b *binnedCount) spread(now time.Time, n float64) {
	window := time.Duration(len(b.bins)) * binWidth
	if age := now.Sub(b.heardAt); !b.heardAt.IsZero() && age < window {
		window = max(age, 1)
	}
	for end, left := now, window; left > 0; {
		start := time.Unix(0, (end.UnixNano()-1)/int64(binWidth)*int64(binWidth))
		d := min(end.Sub(start), left)
		if i := binOf(start); b.last-i < int64(len(b.bins)) {
			*b.bin(i) += n * d.Seconds() / window.Seconds()
		}
		end, left = start, left-d
	}
}

// arrivals estimates how many requests each instance has got for a pool lately.
//
// Instances state how many they have got within a window of some seconds, which is longer than recentTime. The later part
// is found from how the stated counts change. Own arrivals are found in the same way, so that an error that the stated
// counts have in common does not change the shares.
type arrivals struct {
	window time.Duration
	counts map[string]*binnedCount
	// heldUntil keeps others' news valid that were valid at heldFrom: this process did not run between the two.
	heldFrom, heldUntil time.Time
}

// ownInstance is the key of this instance's own arrivals.
const ownInstance = ""

func (a *arrivals) set(now time.Time, instance string, total int) {
	if a.counts == nil {
		a.counts = map[string]*binnedCount{}
	}
	b := a.counts[instance]
	if b == nil {
		b = newBinnedCount(a.window)
		a.counts[instance] = b
	}
	b.setTotal(now, float64(total))
}

func (a *arrivals) isValid(now time.Time, b *binnedCount) bool {
	return now.Sub(b.heardAt) <= newsTTL || now.Before(a.heldUntil) && a.heldFrom.Sub(b.heardAt) <= newsTTL
}

// within returns the arrivals of this instance and of all within a time before the last news of each.
func (a *arrivals) within(now time.Time, d time.Duration) (own, all float64) {
	for instance, b := range a.counts {
		if instance == ownInstance {
			b.advance(now)
			own = b.sum(d)
			continue
		}
		if !a.isValid(now, b) {
			delete(a.counts, instance)
			continue
		}
		all += b.sum(d)
	}
	return own, own + all
}

// part returns this instance's share of the arrivals within a time; an instance that has got none counts as if it had got
// least requests.
func (a *arrivals) part(now time.Time, d time.Duration, least float64) float64 {
	own, all := a.within(now, d)
	if own < least {
		own, all = least, all+least-own
	}
	if all <= 0 {
		return 1
	}
	return own / all
}
