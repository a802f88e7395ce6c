package relay

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/internal/gossip"
	"bambooferry.example/bambooferry/pkg/admission"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// admissionInterval is how often a waiting request looks whether there is room: others' news and the passing of time
	// make some.
	admissionInterval = 50 * time.Millisecond
	// roomAge is how long a sum over the pool's targets is used while this instance changes nothing.
	roomAge = 20 * time.Millisecond
	// refusingTime is how long a target that has refused a request counts as full whatever is known of its slots.
	refusingTime = 100 * time.Millisecond
	// needSamples is the number of requests over which the memory that one needs is averaged.
	needSamples = 64
)

// poolAdmission decides on the first attempts at a pool whose routes differ in priority; the pool's lock guards it.
type poolAdmission struct {
	core    admission.Controller
	waiting map[string]chan admission.Verdict
	room    admission.Room
	// roomAt is when room was computed, or zero if it has changed since.
	roomAt time.Time
	// refusing holds until when targets count as full.
	refusing map[string]time.Time
	// memoryNeed is the mean number of tokens of a request, or 0, and firstOutput the mean time to a stream's first event.
	memoryNeed  float64
	firstOutput time.Duration
}

// updateAdmission enables or disables admission control for the pool; requests that wait when it is disabled go on.
//
// It needs to know what all instances run at the pool, which they exchange for engines and brittle targets only.
func (p *pool) updateAdmission(prioritiesDiffer bool, seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch enabled := prioritiesDiffer && p.sharesProgress(); {
	case enabled && p.admission == nil:
		p.admission = &poolAdmission{
			core: admission.Controller{Window: p.retryBudget.Window, Seed: seed}, waiting: map[string]chan admission.Verdict{}, refusing: map[string]time.Time{},
		}
	case !enabled && p.admission != nil:
		for key, verdict := range p.admission.waiting {
			verdict <- admission.Verdict{ID: key, Decision: admission.Admit}
		}
		p.admission = nil
	}
}

// decideAdmission decides on a request; if it waits, the verdict comes over the returned channel.
func (p *pool) decideAdmission(now time.Time, req *callerRequest, again bool) (admission.Verdict, chan admission.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.admission
	if a == nil {
		return admission.Verdict{Decision: admission.Admit}, nil
	}
	p.lastAdmissionKey++
	req.admissionKey = strconv.FormatUint(p.lastAdmissionKey, 10)
	if !again && p.model != nil {
		a.observeNeed(req, float64(p.model.MemoryTokens))
	}
	usual := a.firstOutput
	if req.route.Kind != route.Streaming {
		usual = p.enginePool.ServiceTime()
	}
	startBy := admission.LatestStart(req.startedAt, req.route.Objective, req.deadline, usual)
	p.updateOwnArrivals(now)
	v := a.core.Decide(now, admission.Request{
		ID: req.admissionKey, Workspace: workspaceName(req), Priority: priorityOf(req), Size: float64(requestSize(req)),
		StartBy: startBy, Deadline: req.deadline, Again: again || req.Resuming,
	}, p.admissionRoom(now))
	if v.Decision != admission.Wait {
		p.settleAdmission(now)
		return v, nil
	}
	verdict := make(chan admission.Verdict, 1)
	a.waiting[req.admissionKey] = verdict
	p.settleAdmission(now)
	return v, verdict
}

// settleAdmission passes on the verdicts on waiting requests; the caller holds mu.
func (p *pool) settleAdmission(now time.Time) {
	a := p.admission
	if a == nil {
		return
	}
	if len(a.waiting) == 0 && !a.core.Short() {
		return
	}
	p.updateOwnArrivals(now)
	for _, v := range a.core.Next(now, p.admissionRoom(now)) {
		if verdict := a.waiting[v.ID]; verdict != nil {
			delete(a.waiting, v.ID)
			verdict <- v
		}
	}
}

// tickAdmission looks whether there is room now.
func (p *pool) tickAdmission(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admission != nil && now.Sub(p.admission.roomAt) >= roomAge {
		p.settleAdmission(now)
	}
}

// leaveAdmission removes a request that does not wait any longer.
func (p *pool) leaveAdmission(now time.Time, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.admission; a != nil {
		a.core.Cancel(key)
		a.core.Started(key)
		delete(a.waiting, key)
		p.settleAdmission(now)
	}
}

// recordStarted records that an admitted request counts at a target now.
func (p *pool) recordStarted(req *callerRequest) {
	if req.admissionKey == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admission != nil {
		p.admission.core.Started(req.admissionKey)
	}
	req.admissionKey = ""
}

// roomChanged records that a request of this instance no longer runs at the pool; the caller holds mu.
func (p *pool) roomChanged(now time.Time) {
	p.rooms.wakeFirst()
	if p.admission != nil {
		p.admission.roomAt = time.Time{}
		p.settleAdmission(now)
	}
}

// recordOwnEnd records that a target has run a request of this instance; the caller holds mu.
func (p *pool) recordOwnEnd(now time.Time) {
	if p.admission != nil {
		p.admission.core.Ended(now)
		p.settleAdmission(now)
	}
}

// recordRefusing records that a target has refused a request.
func (p *pool) recordRefusing(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.admission; a != nil {
		a.refusing[id], a.roomAt = now.Add(refusingTime), time.Time{}
	}
}

// recordFirstOutputTime records how long a stream's first event took.
func (p *pool) recordFirstOutputTime(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.admission; a != nil {
		if a.firstOutput == 0 {
			a.firstOutput = took
		}
		a.firstOutput += (took - a.firstOutput) / needSamples
	}
}

// applyArrivals applies the requests that another instance has got for the pool; the caller holds mu.
func (p *pool) applyArrivals(now time.Time, instance, name string, progress *gossip.Progress) {
	if a := p.admission; a != nil {
		a.core.SetArrivals(now, instance, progress.AttemptCounts[name].Requests)
		p.settleAdmission(now)
	}
}

func (p *pool) updateOwnArrivals(now time.Time) {
	p.admission.core.SetArrivals(now, "", p.retryBudget.LocalCounts(now).Requests)
}

// observeNeed averages the memory that the pool's requests need while they run: what they write grows from nothing.
//
// A caller can state any number, but no request that runs needs more than one engine's memory.
func (a *poolAdmission) observeNeed(req *callerRequest, memory float64) {
	need := min(float64(req.PromptTokens)+float64(req.OutputTokens)/2, memory)
	if need <= 0 {
		return
	}
	if a.memoryNeed == 0 {
		a.memoryNeed = need
	}
	a.memoryNeed += (need - a.memoryNeed) / needSamples
}

// admissionRoom returns the pool's room; the caller holds mu. It is unknown, which admits each request, if an open target
// does not state its slots.
func (p *pool) admissionRoom(now time.Time) admission.Room {
	a := p.admission
	if !a.roomAt.IsZero() && now.Sub(a.roomAt) < roomAge {
		return a.room
	}
	room, memory := admission.Room{ServiceTime: p.enginePool.ServiceTime()}, 0.0
	if p.model != nil {
		memory = float64(p.model.MemoryTokens)
	}
	maps.DeleteFunc(a.refusing, func(_ string, until time.Time) bool { return !now.Before(until) })
	for i := range p.targets {
		t := &p.targets[i]
		if !p.isOpenIfRoom(now, t) || p.losses.lostRecently(now, t.ID) {
			continue
		}
		if t.Slots == 0 {
			room = admission.Room{Unlimited: true}
			break
		}
		slots := admission.SlotsByMemory(t.Slots, memory, a.memoryNeed)
		n := p.enginePool.CountsOf(now, t.ID)
		room.Slots += slots
		room.Running += min(n.All, slots)
		room.Own += n.Own
		if now.Before(a.refusing[t.ID]) {
			room.Refusing += max(slots-n.All, 0)
		}
	}
	a.room, a.roomAt = room, now
	return room
}

// requestSize returns the size of a request in tokens, or in bytes if they are not stated.
func requestSize(req *callerRequest) int {
	if n := min(req.PromptTokens, maxStatedTokens) + min(req.OutputTokens, maxStatedTokens); n > 0 {
		return n
	}
	return len(req.body)
}

// priorityOf returns the priority of a request; 0 is the most important.
func priorityOf(req *callerRequest) int {
	priority := req.route.Priority
	if req.workspace != nil && req.workspace.Priority != nil {
		priority = *req.workspace.Priority
	}
	return max(priority, 0)
}

// admitToPool lets a request proceed to a target, after a wait if the pool's room is short, or returns its refusal. Its
// caller may have left if ctx has ended when it returns nil.
func (r *Relay) admitToPool(ctx context.Context, req *callerRequest, again bool) *Refusal {
	now := time.Now()
	v, verdict := req.pool.decideAdmission(now, req, again)
	if verdict == nil {
		return r.admissionRefusal(now, req, &v)
	}
	r.logAdmission(now, req, &v, "request_queued", "")
	waiting := r.instruments.set.GetOrCreateCounter("bambooferry_admission_waiting")
	waiting.Inc()
	defer waiting.Dec()
	defer func() { r.instruments.recordAdmissionWait(time.Since(now)) }()
	check := time.NewTicker(admissionInterval)
	defer check.Stop()
	for {
		select {
		case v = <-verdict:
			now := time.Now()
			if v.Decision == admission.Admit {
				r.logAdmission(now, req, &v, "request_admitted", "")
				r.instruments.recordAdmittedLate()
			}
			return r.admissionRefusal(now, req, &v)
		case <-check.C:
			req.pool.tickAdmission(time.Now())
		case <-r.stopping:
			req.pool.leaveAdmission(time.Now(), req.admissionKey)
			return notRunRefusal(codeStopping, stoppingRetryAfter)
		case <-ctx.Done():
			req.pool.leaveAdmission(time.Now(), req.admissionKey)
			if req.http.Context().Err() != nil {
				return nil
			}
			return r.admissionRefusal(time.Now(), req, &admission.Verdict{Decision: admission.Refuse, Reason: admission.Late, Waited: time.Since(now)})
		}
	}
}

// admissionRefusal returns the refusal of a request that was not admitted, or nil.
func (r *Relay) admissionRefusal(now time.Time, req *callerRequest, v *admission.Verdict) *Refusal {
	if v.Decision != admission.Refuse {
		return nil
	}
	r.logAdmission(now, req, v, "admission_refused", string(v.Reason))
	r.instruments.recordAdmissionRefusal(string(v.Reason))
	return notRunRefusal(codePoolOverloaded, v.RetryAfter)
}

// endIfCallerLeft ends a request whose caller has left before anything was sent.
func (r *Relay) endIfCallerLeft(req *callerRequest) {
	if req.admissionKey == "" || req.http.Context().Err() == nil {
		return
	}
	r.logEnd(req, string(generation.NotRun), req.callerEndReason(), 0)
	panic(http.ErrAbortHandler)
}

// logAdmission logs a decision on a request with what it was based on.
func (r *Relay) logAdmission(now time.Time, req *callerRequest, v *admission.Verdict, kind, why string) {
	r.Log.Write(now, timeline.Event{
		Kind: kind, Request: req.ID, Entry: req.route.Name, Workspace: workspaceName(req), Decision: string(v.Decision), Why: why, Revision: req.table.Version,
		Inputs: []timeline.Input{
			{Name: "free_slots", Value: int64(v.Free)},
			{Name: "slots", Value: int64(v.Slots)},
			{Name: "part_per_1000", Value: int64(1000 * v.Part)},
			{Name: "wait_ms", Value: v.Estimate.Milliseconds()},
			{Name: "position", Value: int64(v.Position)},
			{Name: "priority", Value: int64(priorityOf(req))},
			{Name: "waited_ms", Value: v.Waited.Milliseconds()},
			{Name: "age_ms", Value: now.Sub(req.startedAt).Milliseconds()},
		},
	})
}

// admitAgain lets a stream that its targets have refused try again, or ends it. It reports whether it may.
func (st *streamHandler) admitAgain() bool {
	if st.refusals == 0 || st.acceptedCount > 0 {
		return true
	}
	if refusal := st.relay.admitToPool(st.ctx, st.req, true); refusal != nil {
		st.backoffRefusal, st.aborted = refusal, true
		return false
	}
	if st.ctx.Err() != nil {
		return false
	}
	// The wait for room says nothing about targets.
	st.handleEvent(generation.Event{Kind: generation.Delayed})
	return true
}
