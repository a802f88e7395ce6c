package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/route"
)

const (
	// maxBuffered bounds the part of an answer that is held back until it is known to be whole.
	maxBuffered = 256 << 10
	// refusedRetry is when a caller may return after all targets have refused.
	refusedRetry = 200 * time.Millisecond
	// maxRefusals bounds the targets that are asked after one has refused.
	maxRefusals = 3
)

// reply is what one sending of a call came to.
type reply struct {
	s *sending
	// body is the answer's body, or its beginning if rest is set.
	body []byte
	rest io.Reader
	err  error
	// refused tells that the target did not run the request.
	refused bool
}

// good reports whether the reply can be passed on as a success or the target's own refusal of the content.
func (p *reply) good() bool {
	return p.err == nil && !p.refused && p.s.res.StatusCode < http.StatusInternalServerError
}

// callRun is the state of one call over its sendings.
type callRun struct {
	relay *Relay
	q     *query
	w     http.ResponseWriter
	avoid []string
	// replies brings the replies of open sendings.
	replies chan *reply
	open    int
	// ran is the number of targets that may have run the call.
	ran      int
	refusals int
	last     *reply
}

// serveCall sends a call until it has an answer, as often as its kind allows.
func (r *Relay) serveCall(ctx context.Context, w http.ResponseWriter, q *query) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sendCtx := ctx
	if q.route.Kind == route.Once {
		// A call that must not be repeated is left to end at its target when its caller goes.
		var stop context.CancelFunc
		sendCtx, stop = context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
		context.AfterFunc(sendCtx, stop)
	}
	c := &callRun{relay: r, q: q, w: w, replies: make(chan *reply, maxRefusals+max(q.route.MaxAttempts, 1)+1)}
	q.pool.earn(time.Now())
	if !c.send(sendCtx, "first") {
		r.refuse(w, q, notRun(codeNoTarget, spreadRetry(startRetry)))
		return
	}
	c.wait(ctx, sendCtx)
}

// send starts one sending and reports whether there was a target.
func (c *callRun) send(ctx context.Context, why string) bool {
	now := time.Now()
	t, load, ok := c.q.pool.choose(now, c.relay.DataCentre, question{avoid: c.avoid})
	if !ok {
		return false
	}
	c.avoid = append(c.avoid, t.ID)
	c.ran++
	c.open++
	s := c.relay.begin(now, c.q, t, c.q.attempts+1, why, load)
	go func() { c.replies <- s.call(ctx) }()
	return true
}

// wait takes replies until one is final.
func (c *callRun) wait(ctx, sendCtx context.Context) {
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case p := <-c.replies:
			c.open--
			if c.take(sendCtx, p) {
				return
			}
		case <-hedge.C:
			if c.mayRepeat() && c.q.pool.spend(time.Now()) {
				c.send(sendCtx, "slow")
			}
		case <-ctx.Done():
			c.giveUp(ctx)
			return
		}
	}
}

// hedgeDelay returns when a repeatable call goes to a second target if it has no answer.
func (c *callRun) hedgeDelay() time.Duration {
	if c.q.route.Kind != route.Repeatable {
		return time.Until(c.q.deadline) + time.Hour
	}
	d := hedgeMultiple * c.q.pool.hedgeDelay()
	return max(d, c.q.route.Objective/2)
}

// hedgeMultiple is applied to the time within which 95 in 100 answers come, since each answer
// past it would otherwise cost a second run.
const hedgeMultiple = 2

// mayRepeat reports whether the call may go to a target after another may have run it.
func (c *callRun) mayRepeat() bool {
	now := time.Now()
	return c.q.route.Repeats() && c.ran < c.q.route.MaxAttempts && now.Before(c.q.deadline) && !c.relay.Crashes.marked(now, c.q)
}

// take handles a reply and reports whether the call is over.
func (c *callRun) take(ctx context.Context, p *reply) bool {
	if p.good() {
		c.relay.deliver(c.w, c.q, p)
		return true
	}
	if p.refused {
		c.ran--
		c.refusals++
		if c.refusals < maxRefusals && time.Now().Before(c.q.deadline) && c.q.pool.spend(time.Now()) && c.send(ctx, "refused_by_target") {
			return false
		}
	} else {
		c.last = p
		if c.mayRepeat() && c.q.pool.spend(time.Now()) && c.send(ctx, "failed") {
			return false
		}
	}
	if c.open > 0 {
		return false
	}
	c.fail()
	return true
}

// fail answers a call that no target answered with success.
func (c *callRun) fail() {
	switch p := c.last; {
	case p == nil:
		c.relay.refuse(c.w, c.q, notRun(codeTargetsRefuse, spreadRetry(refusedRetry)))
	case p.err == nil:
		c.relay.deliver(c.w, c.q, p)
	case p.s.late(time.Now()):
		c.relay.refuse(c.w, c.q, timedOut())
	default:
		code := codeTargetLost
		if bad := (*AnswerError)(nil); errors.As(p.err, &bad) {
			code = codeBadAnswer
		}
		c.relay.refuse(c.w, c.q, &Refusal{Status: http.StatusBadGateway, Code: code, Outcome: generation.Unknown})
	}
}

// giveUp ends a call whose deadline has passed or whose caller has gone.
func (c *callRun) giveUp(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.relay.refuse(c.w, c.q, timedOut())
		return
	}
	c.relay.ended(c.q, string(generation.Unknown), callerGone, 0)
	panic(http.ErrAbortHandler)
}

// call sends a call to one target and reads its answer.
func (s *sending) call(ctx context.Context) *reply {
	p := &reply{s: s}
	p.err = s.open(ctx, Attempt{}, s.q.deadline, nil)
	now := time.Now()
	if p.err != nil {
		// A connection that could not be made carried nothing of the request.
		p.refused = !s.left
		gone := errors.Is(ctx.Err(), context.Canceled)
		s.silent = wasSilent(p.err)
		s.done(now, engine.Result{Unreachable: !gone && !s.late(now), Cancelled: gone}, false, lossWhy(p.err))
		return p
	}
	if s.refusedByTarget() {
		p.refused = true
		_, err := io.Copy(io.Discard, io.LimitReader(s.res.Body, maxBuffered))
		s.done(time.Now(), engine.Result{Failed: s.res.StatusCode != http.StatusMisdirectedRequest, Unreachable: s.res.StatusCode == http.StatusMisdirectedRequest}, err == nil, "not_run")
		return p
	}
	p.read()
	now = time.Now()
	if p.err == nil {
		p.err = s.check()
	}
	if p.rest != nil {
		return p
	}
	if p.err == nil {
		s.q.pool.sawAnswer(now.Sub(s.begun))
	}
	s.done(now, engine.Result{Failed: p.err != nil || s.res.StatusCode >= http.StatusInternalServerError, Cancelled: ctx.Err() != nil}, p.err == nil, resultWhy(p))
	return p
}

func (s *sending) late(now time.Time) bool { return !now.Before(s.q.deadline) }

func resultWhy(p *reply) string {
	if p.err != nil {
		return lossWhy(p.err)
	}
	return "answered"
}

// read takes the answer's body into memory, up to maxBuffered.
func (p *reply) read() {
	res := p.s.res
	if n := res.ContentLength; n > 0 && n < maxBuffered {
		p.body = make([]byte, 0, n+1)
	}
	p.body, p.err = appendAll(p.body, io.LimitReader(res.Body, maxBuffered))
	if p.err == nil && len(p.body) == maxBuffered {
		p.rest = res.Body
	}
}
