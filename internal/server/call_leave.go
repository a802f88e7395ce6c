package server

import (
	"context"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	// leaveRecordWait is the time that a leaving instance gives the service for its last records.
	// While the service works, a record waits for up to RecordDelay and for its write's turn.
	leaveRecordWait = 500 * time.Millisecond
	// leaveTell bounds one message of a leaving instance.
	leaveTell = time.Second
	// leaveOps bounds the records of one message; with answers of 4 KiB it stays below the
	// 2 MiB that a message between instances may have.
	leaveOps = 128
	// leaveReceivers is the number of instances that take over records, so that one may fail.
	leaveReceivers = 2
	// maxLeft bounds the statements of instances that left.
	maxLeft = 1024
	// leaveResults bounds the answers of used tickets in one statement.
	leaveResults = 1 << 20
)

// CallLeave is what a leaving instance states to the others at its end.
type CallLeave struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	// Closed is set when the instance runs no more calls with its tickets.
	Closed bool `json:"closed"`
	// At is the time by the leaving instance's clock in Unix milliseconds, up to which it has
	// forgotten expired tickets.
	At int64 `json:"at"`
	// Used are the tickets whose calls may have run.
	Used []booking.UsedTicket `json:"used"`
	// Records are the results and releases that it could not write.
	Records []booking.Op `json:"records"`
}

// Check reports whether the message can be taken.
func (l *CallLeave) Check() error {
	switch {
	case l.Instance == "" || len(l.Instance) > booking.MaxNameBytes, len(l.Records) > leaveOps, l.At < 0:
		return &booking.InvalidMessageError{Message: "statement of a leaving instance"}
	}
	for i := range l.Used {
		if !l.Used[i].Valid() {
			return &booking.InvalidMessageError{Message: "ticket of a leaving instance"}
		}
	}
	for i := range l.Records {
		if o := &l.Records[i]; !o.Valid() || o.Kind == booking.OpClaim {
			return &booking.InvalidMessageError{Message: "record of a leaving instance"}
		}
	}
	return nil
}

// Leave takes over what a leaving instance could not write, and learns which of its tickets were used.
func (p *CallPeer) Leave(in *CallLeave, _ *struct{}) error {
	if err := in.Check(); err != nil {
		return err
	}
	if in.Closed {
		p.server.calls.left.add(time.Now(), p.server.Limits.Calls.TicketTTL, in)
	}
	for _, o := range in.Records {
		p.server.record(o)
	}
	return nil
}

// leftTable holds what instances stated at their ends about their tickets.
type leftTable struct {
	mu            sync.Mutex
	byIncarnation map[incarnationKey]leftHolder
}

type incarnationKey struct {
	instance    string
	incarnation int64
}

type leftHolder struct {
	at   time.Time
	used map[string]booking.UsedTicket
	// until is when all of its tickets have expired, by the clock of this instance.
	until time.Time
}

func (t *leftTable) add(now time.Time, ticketLife time.Duration, l *CallLeave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.byIncarnation {
		if now.After(h.until) {
			delete(t.byIncarnation, k)
		}
	}
	if t.byIncarnation == nil {
		t.byIncarnation = map[incarnationKey]leftHolder{}
	}
	if len(t.byIncarnation) >= maxLeft {
		return
	}
	h := leftHolder{at: time.UnixMilli(l.At), used: make(map[string]booking.UsedTicket, len(l.Used)), until: now.Add(2 * ticketLife)}
	for _, u := range l.Used {
		h.used[u.Nonce] = u
	}
	t.byIncarnation[incarnationKey{l.Instance, l.Incarnation}] = h
}

// answer returns what the instance that gave a ticket stated of it at its end, if it did.
//
// A ticket that is not among the used ones was not used and never will be, unless it had expired
// by that instance's clock: it may then have been used and forgotten.
func (t *leftTable) answer(k *booking.Ticket, digest string) (result *booking.Result, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byIncarnation[incarnationKey{k.Instance, k.Incarnation}]
	if !ok || !k.Expires.After(h.at) {
		return nil, false, nil
	}
	switch u, used := h.used[k.Nonce]; {
	case !used:
		return nil, true, holderLeft()
	case u.Digest != digest:
		return nil, true, keyReused()
	default:
		return u.Result, u.Result != nil, nil
	}
}

// closeTickets ends the use of this instance's tickets; it returns the runs that go on.
func (t *runTable) closeTickets() []*heldRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	var running []*heldRun
	for _, r := range t.tickets {
		if r.Phase != booking.Finished && r.Phase != booking.Abandoned {
			running = append(running, r)
		}
	}
	return running
}

func (t *runTable) ticketsClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// used returns the tickets whose calls may have run, with as many results as there is space for.
func (t *runTable) used() []booking.UsedTicket {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []booking.UsedTicket
	bytes := 0
	for _, r := range t.tickets {
		if r.Phase == booking.Abandoned {
			continue
		}
		u := booking.UsedTicket{Nonce: r.Claim.Nonce, Digest: r.Claim.Digest}
		if r.Phase == booking.Finished {
			if a := r.answer.LimitSize(booking.MaxStoredResponseBytes); bytes+a.Bytes() <= leaveResults {
				u.Result, bytes = a, bytes+a.Bytes()
			}
		}
		list = append(list, u)
	}
	return list
}

// finishCalls ends the work on calls that goes on without their callers, and hands over what cannot be written.
func (s *Server) finishCalls(ctx context.Context) {
	k := &s.calls
	for _, r := range k.runs.closeTickets() {
		select {
		case <-r.done:
		case <-ctx.Done():
			return
		}
	}
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	if !waitFor(ctx, &k.group) {
		return
	}
	short, cancel := context.WithTimeout(ctx, leaveRecordWait)
	defer cancel()
	written := waitFor(short, &k.recording)
	if s.handOver(ctx) || written {
		return
	}
	s.Log.Warn().Int("records", len(k.unwritten())).Msg("calls: No instance took over the results that could not be written; waiting for the service.")
	waitFor(ctx, &k.recording)
}

// waitFor waits for a group until ctx ends.
func waitFor(ctx context.Context, g *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() { defer close(done); g.Wait() }()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// handOver tells all members which tickets were used and gives two of them the records.
//
// It reports whether each record has another instance that offers it to the service.
func (s *Server) handOver(ctx context.Context) bool {
	records, given := s.calls.unwritten(), s.calls.given.Load()
	v, ok := Members.Get(s.Board)
	if !ok || s.Peers == nil {
		return len(records) == 0
	}
	others := v.Live()
	for i, m := range others {
		if m.ID == s.ID {
			others = append(others[:i], others[i+1:]...)
			break
		}
	}
	heirs := map[string]bool{}
	for _, m := range instance.RankByRendezvousHash(others, s.ID, leaveReceivers) {
		heirs[m.ID] = true
	}
	statement := CallLeave{Instance: s.ID, Incarnation: s.Incarnation, Closed: true, At: time.Now().UnixMilli(), Used: s.calls.runs.used()}
	var group sync.WaitGroup
	var mu sync.Mutex
	taken := len(records) == 0
	for _, m := range others {
		if !given && !heirs[m.ID] {
			continue
		}
		group.Go(func() {
			err := s.tellLeave(ctx, m, &statement)
			if !heirs[m.ID] || err != nil {
				return
			}
			for rest := records; len(rest) > 0 && err == nil; {
				n := min(len(rest), leaveOps)
				err = s.tellLeave(ctx, m, &CallLeave{Instance: s.ID, Incarnation: s.Incarnation, Records: rest[:n]})
				rest = rest[n:]
			}
			mu.Lock()
			defer mu.Unlock()
			taken = taken || err == nil
		})
	}
	group.Wait()
	return taken
}

func (s *Server) tellLeave(ctx context.Context, m instance.Member, l *CallLeave) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTell)
	defer cancel()
	return s.Peers.Call(ctx, m.Address, callsService+".Leave", l, &struct{}{})
}
