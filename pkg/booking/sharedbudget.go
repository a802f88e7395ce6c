package booking

import "time"

const (
	// windowSlices is the number of slices of the window that are counted separately.
	windowSlices = 10
	// sharedUseLimit is the fraction of the shared budget up to which each instance retries
	// regardless of its own share, since the counts of other instances are some hundred
	// milliseconds old.
	sharedUseLimit = 0.7
	// localUseLimit is the fraction of its own share that an instance uses beyond that.
	localUseLimit = 0.5
)

// SendCounts counts first attempts and retries within a window.
type SendCounts struct {
	Requests int `json:"first"`
	Retries  int `json:"repeats"`
}

// SharedRetryBudget bounds the retries that all instances together send within a sliding window.
//
// Each instance publishes its SendCounts to the others. While the total is well below the bound, an
// instance retries as often as it needs, so that one with many lost streams is not limited by its
// own small share; above that it is limited to its share. Set the exported fields before the first
// call.
type SharedRetryBudget struct {
	// Ratio is the number of retries per request, Slack the number of retries allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration

	slices [windowSlices]SendCounts
	// currentSlice is the number of the slice that is counted now.
	currentSlice int64
	remote       map[string]remoteCounts
	// startedAt is when the first request was counted here.
	startedAt time.Time
}

// remoteCounts are the counts last received from another instance.
type remoteCounts struct {
	SendCounts
	receivedAt time.Time
}

// RecordRequest counts the first attempt of a request.
func (b *SharedRetryBudget) RecordRequest(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	b.currentCounts(now).Requests++
}

// minRateTime is the least time over which RequestRate averages.
const minRateTime = time.Second

// RequestRate returns how many requests a second this instance gets. It averages over the part of the window in which
// it has counted.
func (b *SharedRetryBudget) RequestRate(now time.Time) float64 {
	counted := min(max(now.Sub(b.startedAt), minRateTime), b.Window)
	if b.startedAt.IsZero() || counted <= 0 {
		return 0
	}
	return float64(b.LocalCounts(now).Requests) / counted.Seconds()
}

// AllowRetry consumes one retry from the budget and reports whether one was available.
func (b *SharedRetryBudget) AllowRetry(now time.Time, instances int) bool {
	local := b.LocalCounts(now)
	total := b.totalCounts(now, local)
	if float64(total.Retries+1) > sharedUseLimit*b.allowedRetries(total.Requests, 1) && float64(local.Retries+1) > localUseLimit*b.allowedRetries(local.Requests, instances) {
		return false
	}
	b.currentCounts(now).Retries++
	return true
}

// allowedRetries returns the number of retries that one of the given number of instances may send.
func (b *SharedRetryBudget) allowedRetries(requests, instances int) float64 {
	return b.Ratio*float64(requests) + b.Slack/float64(max(instances, 1))
}

// LocalCounts returns this instance's counts within the window.
func (b *SharedRetryBudget) LocalCounts(now time.Time) SendCounts {
	b.currentCounts(now)
	sum := SendCounts{}
	for _, s := range b.slices {
		sum.Requests += s.Requests
		sum.Retries += s.Retries
	}
	return sum
}

// TotalRate returns how many requests a second all instances get, and the number of other instances that have reported
// since a time. Each instance's counts are averaged over the window.
func (b *SharedRetryBudget) TotalRate(now, since time.Time) (perSecond float64, reporters int) {
	perSecond = b.RequestRate(now)
	for _, s := range b.remote {
		if now.Sub(s.receivedAt) <= b.Window && b.Window > 0 {
			perSecond += float64(s.Requests) / b.Window.Seconds()
		}
		if !s.receivedAt.Before(since) {
			reporters++
		}
	}
	return perSecond, reporters
}

// SetRemoteCounts stores the counts received from another instance.
func (b *SharedRetryBudget) SetRemoteCounts(now time.Time, instance string, counts SendCounts) {
	if b.remote == nil {
		b.remote = map[string]remoteCounts{}
	}
	b.remote[instance] = remoteCounts{SendCounts: counts, receivedAt: now}
}

// totalCounts adds the counts of other instances to local, ignoring those older than the window.
func (b *SharedRetryBudget) totalCounts(now time.Time, local SendCounts) SendCounts {
	for instance, s := range b.remote {
		if now.Sub(s.receivedAt) > b.Window {
			delete(b.remote, instance)
			continue
		}
		local.Requests += s.Requests
		local.Retries += s.Retries
	}
	return local
}

// currentCounts returns the counts of the current slice, after clearing slices that left the
// window.
func (b *SharedRetryBudget) currentCounts(now time.Time) *SendCounts {
	n := now.UnixNano() / max(int64(b.Window)/windowSlices, 1)
	if n < b.currentSlice && b.currentSlice-n < windowSlices {
		n = b.currentSlice // the times of concurrent callers are not in order
	}
	if n-b.currentSlice >= windowSlices || n < b.currentSlice {
		b.slices = [windowSlices]SendCounts{}
		b.currentSlice = n
	}
	for b.currentSlice < n {
		b.currentSlice++
		b.slices[b.currentSlice%windowSlices] = SendCounts{}
	}
	return &b.slices[n%windowSlices]
}
