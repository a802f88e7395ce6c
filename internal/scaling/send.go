package scaling

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	dutycalls "bambooferry.example/bambooferry/internal/duty"
	"bambooferry.example/bambooferry/pkg/duty"
	"bambooferry.example/bambooferry/pkg/scaling"
)

// send makes the orders that are due until ctx ends.
func (s *Scaler) send(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for s.SendNext(ctx) {
		}
	}
}

// SendNext makes the next order, and reports whether another one may be made at once. The Caller bounds the rate.
func (s *Scaler) SendNext(ctx context.Context) bool {
	o, p, term, ok := s.next()
	if !ok || ctx.Err() != nil {
		return false
	}
	if term.Token <= o.Above {
		if term, ok = s.renumber(ctx, o); !ok {
			return false
		}
	}
	began := s.now()
	err := s.Caller.OrderTargets(ctx, term, o.Pool, o.DataCentre, o.Desired)
	return s.record(time.Now(), o, p, term.Token, s.now().Sub(began), err)
}

// next returns the order that follows the last one in the order of the subjects, with its plan. Each due order is made once
// in a step.
func (s *Scaler) next() (scaling.Order, *scaling.Plan, duty.Term, bool) {
	term, held := s.Holder.Term(s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held || term.Token != s.token && !s.renumbering {
		return scaling.Order{}, nil, duty.Term{}, false
	}
	for len(s.due) > 0 {
		i := max(slices.IndexFunc(s.due, func(k subjectKey) bool { return compareKeys(k, s.last) > 0 }), 0)
		key := s.due[i]
		s.due = slices.Delete(s.due, i, i+1)
		s.last = key
		// It may have been made since the step.
		if p := s.plans[key.pool]; p != nil {
			if o, ok := p.Due(key.dataCentre); ok {
				return o, p, term, true
			}
		}
	}
	return scaling.Order{}, nil, duty.Term{}, false
}

// renumber gets a token that is higher than that of a call which may still be executed.
func (s *Scaler) renumber(ctx context.Context, o scaling.Order) (duty.Term, bool) {
	s.mu.Lock()
	s.renumbering = true
	s.mu.Unlock()
	term, err := s.Holder.Renumber(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		notHeld := (*dutycalls.NotHeldError)(nil)
		if errors.As(err, &notHeld) {
			// The term has ended: another instance may act before the next one.
			s.reset(0)
		}
		s.logResult(time.Now(), "order_postponed", o, term.Token, 0, "renumber_failed")
		return term, false
	}
	s.token, s.renumbering = term.Token, false
	return term, term.Token > o.Above
}

// record records the result of an order in the plan that it is from, and reports whether another one may be made at once.
func (s *Scaler) record(wall time.Time, o scaling.Order, p *scaling.Plan, token int64, took time.Duration, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plans[o.Pool] != p {
		// The pool is no longer scaled, or the plans are those of a later term.
		return true
	}
	refused, limited, notHeld := (*dutycalls.RefusedError)(nil), (*dutycalls.RateError)(nil), (*dutycalls.NotHeldError)(nil)
	switch {
	case err == nil:
		p.RecordAccepted(o, token)
		s.logResult(wall, "order_sent", o, token, took, "accepted")
		return true
	case errors.As(err, &refused):
		// Another instance has acted since: what was ordered is not known.
		s.logResult(wall, "order_refused", o, token, took, "token")
		s.reset(0)
	case errors.As(err, &limited):
		s.logResult(wall, "order_refused", o, token, took, "rate")
	case errors.As(err, &notHeld):
	default:
		p.RecordUnanswered(o, token)
		s.logResult(wall, "order_unanswered", o, token, took, "no_answer")
	}
	return false
}

func compareKeys(a, b subjectKey) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.dataCentre, b.dataCentre))
}
