package timeline

// DefaultMaxRequestEvents is the limit on one request's lines if a Writer sets none.
//
// A generation that is resumed a few times writes about ten. The end of an
// attempt whose start was written and the terminal event are exempt from the
// limit, so that a request has at most twice as many lines and one.
const DefaultMaxRequestEvents = 64

// maxTrackedRequests is the maximum number of requests in each half of the tracker.
const maxTrackedRequests = 1 << 14

// requestCounts counts the written and the suppressed events of a request; maxAttempt is its highest attempt
// whose start was written.
type requestCounts struct{ events, suppressed, maxAttempt int }

// requestTracker counts the lines of requests in progress and evicts requests without recent events.
type requestTracker struct {
	recent, older map[string]requestCounts
}

// admit reports whether to write an event and, for a terminal event, how many events of the request were suppressed.
func (t *requestTracker) admit(ev *Event, limit int) (write bool, suppressed int) {
	if ev.Request == "" {
		return true, 0
	}
	n, ok := t.recent[ev.Request]
	if !ok {
		n = t.older[ev.Request]
		delete(t.older, ev.Request)
	}
	if ev.Outcome != "" {
		delete(t.recent, ev.Request)
		return true, n.suppressed
	}
	write = n.events < limit || (ev.Kind == AttemptEnded || ev.Kind == AttemptLost) && ev.Attempt <= n.maxAttempt
	switch {
	case !write:
		n.suppressed++
	case ev.Kind == AttemptBegun:
		n.maxAttempt = max(n.maxAttempt, ev.Attempt)
		n.events++
	default:
		n.events++
	}
	if t.recent == nil {
		t.recent = map[string]requestCounts{}
	}
	t.recent[ev.Request] = n
	return write, 0
}

func (t *requestTracker) needsRotation() bool { return len(t.recent) >= maxTrackedRequests }

// rotate evicts the older half and returns the numbers of suppressed events of its requests.
func (t *requestTracker) rotate() map[string]int {
	suppressed := map[string]int{}
	for id, n := range t.older {
		if n.suppressed > 0 {
			suppressed[id] = n.suppressed
		}
	}
	t.older, t.recent = t.recent, nil
	return suppressed
}
