package timeline

// DefaultMaxRequestEvents is the bound on one request's lines when a Writer sets none.
//
// A generation that is resumed a few times writes about ten. The end of an
// attempt whose begin was written and the terminal event are written above the
// bound, so that a request has at most twice as many lines and one.
const DefaultMaxRequestEvents = 64

// trackedRequests bounds the requests counted in each half of the table.
const trackedRequests = 1 << 14

type requestCount struct{ events, suppressed, begun int }

// requestTable counts the lines of requests in progress; requests not seen for a while move out of it.
type requestTable struct {
	recent, older map[string]requestCount
}

// admit reports whether an event is written, and for a terminal one how many were not.
func (t *requestTable) admit(ev *Event, limit int) (write bool, suppressed int) {
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
	write = n.events < limit || (ev.Kind == AttemptEnded || ev.Kind == AttemptLost) && ev.Attempt <= n.begun
	switch {
	case !write:
		n.suppressed++
	case ev.Kind == AttemptBegun:
		n.begun = max(n.begun, ev.Attempt)
		n.events++
	default:
		n.events++
	}
	if t.recent == nil {
		t.recent = map[string]requestCount{}
	}
	t.recent[ev.Request] = n
	return write, 0
}

func (t *requestTable) full() bool { return len(t.recent) >= trackedRequests }

// rotate forgets the older half and returns the events that were suppressed there.
func (t *requestTable) rotate() map[string]int {
	lost := map[string]int{}
	for id, n := range t.older {
		if n.suppressed > 0 {
			lost[id] = n.suppressed
		}
	}
	t.older, t.recent = t.recent, nil
	return lost
}
