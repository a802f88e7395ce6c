package server

import (
	"context"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/instance"
)

const (
	// leaveRecordTimeout bounds the time in which a leaving instance writes its last records to the service.
	// It covers the normal wait of a record: up to RecordDelay, and then for the write budget.
	leaveRecordTimeout = 500 * time.Millisecond
	// leaveMessageTimeout bounds one message of a leaving instance.
	leaveMessageTimeout = time.Second
	// maxLeaveRecords bounds the records of one message; with results of 4 KiB the message stays
	// below the limit of 2 MiB for messages between instances.
	maxLeaveRecords = 128
	// leaveReceivers is the number of instances that take over records, so that one of them may fail.
	leaveReceivers = 2
	// maxDepartedInstances bounds the departed instances whose statements are kept.
	maxDepartedInstances = 1024
	// maxLeaveResultBytes bounds the results of used tickets in one statement.
	maxLeaveResultBytes = 1 << 20
)

// CallLeave is the statement that a leaving instance sends to the others when it ends.
type CallLeave struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	// Closed is set when the instance runs no more calls with its tickets.
	Closed bool `json:"closed"`
	// At is a time by the leaving instance's clock, in Unix milliseconds. The instance has
	// forgotten the tickets that had expired by then.
	At int64 `json:"at"`
	// Used lists the tickets whose calls may have run.
	Used []booking.UsedTicket `json:"used"`
	// Records lists the results and releases that the instance could not write.
	Records []booking.Op `json:"records"`
}

// Check returns an error if the message is not valid.
func (l *CallLeave) Check() error {
	switch {
	case l.Instance == "" || len(l.Instance) > booking.MaxNameBytes, len(l.Records) > maxLeaveRecords, l.At < 0:
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

// Leave takes over the records that a leaving instance could not write, and stores which of its tickets were used.
func (p *CallPeer) Leave(in *CallLeave, _ *struct{}) error {
	if err := in.Check(); err != nil {
		return err
	}
	if in.Closed {
		p.server.calls.departed.add(time.Now(), p.server.Limits.Calls.TicketTTL, in)
	}
	for _, o := range in.Records {
		p.server.recordInBackground(o)
	}
	return nil
}

// departedTable holds the statements of departed instances about their tickets.
type departedTable struct {
	mu            sync.Mutex
	byIncarnation map[incarnationKey]departedInstance
}

type incarnationKey struct {
	instance    string
	incarnation int64
}

type departedInstance struct {
	at   time.Time
	used map[string]booking.UsedTicket
	// expiresAt is when all of its tickets have expired, by the clock of this instance.
	expiresAt time.Time
}

func (t *departedTable) add(now time.Time, ticketTTL time.Duration, l *CallLeave) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, h := range t.byIncarnation {
		if now.After(h.expiresAt) {
			delete(t.byIncarnation, k)
		}
	}
	if t.byIncarnation == nil {
		t.byIncarnation = map[incarnationKey]departedInstance{}
	}
	if len(t.byIncarnation) >= maxDepartedInstances {
		return
	}
	h := departedInstance{at: time.UnixMilli(l.At), used: make(map[string]booking.UsedTicket, len(l.Used)), expiresAt: now.Add(2 * ticketTTL)}
	for _, u := range l.Used {
		h.used[u.Nonce] = u
	}
	t.byIncarnation[incarnationKey{l.Instance, l.Incarnation}] = h
}

// ticketOutcome returns what the issuer of a ticket stated about it when it left, if it did.
//
// A ticket that is not among the used ones was not used and never will be. An exception is a ticket
// that had expired by the issuer's clock: it may have been used and forgotten.
func (t *departedTable) ticketOutcome(k *booking.Ticket, digest string) (result *booking.Result, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byIncarnation[incarnationKey{k.Instance, k.Incarnation}]
	if !ok || !k.Expires.After(h.at) {
		return nil, false, nil
	}
	switch u, used := h.used[k.Nonce]; {
	case !used:
		return nil, true, ticketHolderLeftRefusal()
	case u.Digest != digest:
		return nil, true, keyReusedRefusal()
	default:
		return u.Result, u.Result != nil, nil
	}
}

// closeTickets ends the use of this instance's tickets and returns the runs that are still in progress.
func (t *runTable) closeTickets() []*trackedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	var running []*trackedRun
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

// usedTickets returns the tickets whose calls may have run, with as many results as fit into the limit.
func (t *runTable) usedTickets() []booking.UsedTicket {
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
			if a := r.answer.LimitSize(booking.MaxStoredResponseBytes); bytes+a.Bytes() <= maxLeaveResultBytes {
				u.Result, bytes = a, bytes+a.Bytes()
			}
		}
		list = append(list, u)
	}
	return list
}

// drainCalls waits for the calls that run without their callers, and hands over the records that cannot be written.
func (s *Server) drainCalls(ctx context.Context) {
	k := &s.calls
	for _, r := range k.runs.closeTickets() {
		select {
		case <-r.done:
		case <-ctx.Done():
			return
		}
	}
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	if !waitForGroup(ctx, &k.background) {
		return
	}
	recordCtx, cancel := context.WithTimeout(ctx, leaveRecordTimeout)
	defer cancel()
	written := waitForGroup(recordCtx, &k.recording)
	if s.handOverRecords(ctx) || written {
		return
	}
	s.Log.Warn().Int("records", len(k.unwrittenRecords())).Msg("calls: No other instance accepted the unwritten results; waiting for the service.")
	waitForGroup(ctx, &k.recording)
}

// waitForGroup waits for a group until ctx ends and reports whether the group has finished.
func waitForGroup(ctx context.Context, g *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() { defer close(done); g.Wait() }()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// handOverRecords tells all members which tickets were used and sends the unwritten records to two of them.
//
// It reports whether another instance has accepted each record and will write it to the service.
func (s *Server) handOverRecords(ctx context.Context) bool {
	records, ticketsIssued := s.calls.unwrittenRecords(), s.calls.ticketsIssued.Load()
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
	receivers := map[string]bool{}
	for _, m := range instance.RankByRendezvousHash(others, s.ID, leaveReceivers) {
		receivers[m.ID] = true
	}
	statement := CallLeave{Instance: s.ID, Incarnation: s.Incarnation, Closed: true, At: time.Now().UnixMilli(), Used: s.calls.runs.usedTickets()}
	var group sync.WaitGroup
	var mu sync.Mutex
	accepted := len(records) == 0
	for _, m := range others {
		if !ticketsIssued && !receivers[m.ID] {
			continue
		}
		group.Go(func() {
			err := s.sendLeave(ctx, m, &statement)
			if !receivers[m.ID] || err != nil {
				return
			}
			for rest := records; len(rest) > 0 && err == nil; {
				n := min(len(rest), maxLeaveRecords)
				err = s.sendLeave(ctx, m, &CallLeave{Instance: s.ID, Incarnation: s.Incarnation, Records: rest[:n]})
				rest = rest[n:]
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = accepted || err == nil
		})
	}
	group.Wait()
	return accepted
}

func (s *Server) sendLeave(ctx context.Context, m instance.Member, l *CallLeave) error {
	ctx, cancel := context.WithTimeout(ctx, leaveMessageTimeout)
	defer cancel()
	return s.Peers.Call(ctx, m.Address, callsServiceName+".Leave", l, &struct{}{})
}
