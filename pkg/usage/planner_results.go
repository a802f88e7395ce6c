package usage

import "time"

// StoredRecord is the record of an era as it was read.
type StoredRecord struct {
	// Era is the era whose record it is.
	Era      int64
	Revision int64
	// Record is nil if it can't be decoded.
	Record *Record
}

// HandleRead applies the records of all eras, which were read in an era under the term with a token.
func (p *Planner) HandleRead(s *Status, token, era int64, records []StoredRecord) {
	if token != p.token || era != p.termEra {
		p.HandleFailure(s.Now)
		return
	}
	own, former := StoredRecord{Era: era, Record: &Record{}}, StoredRecord{Era: -1}
	for _, r := range records {
		switch {
		case r.Era == era:
			own = r
		case r.Era < era && r.Era > former.Era:
			former = r
		}
	}
	p.isRead, p.pending, p.carried = true, nil, nil
	p.record, p.revision = own.Record, own.Revision
	if own.Record == nil {
		// It has no report of a window that has not ended yet.
		p.record = &Record{}
		p.skip(WindowOf(s.True, p.Window)-1, WindowOf(s.True.Add(2*s.Bound), p.Window), SkippedRecord)
	}
	for i := range p.record.Unsent {
		p.prove(p.record.Unsent[i].Window, p.record.Unsent[i].Hash())
	}
	if last := p.record.LastSent; last != nil {
		p.prove(last.Window, last.Hash())
	}
	if former.Record != nil && own.Revision == 0 {
		p.carry(former.Record)
	}
}

// carry takes over the unsent reports of an earlier era.
//
// A restored record may lack its latest changes, and a delayed write may have been executed in it after the restore. So
// a report is taken over only if it is known that the store had this very report in its own era.
func (p *Planner) carry(former *Record) {
	for _, r := range former.Unsent {
		switch hash, proven := p.proofs[r.Window]; {
		case p.accepted[r.Window]:
		case proven && hash == r.Hash():
			p.carried = append(p.carried, r)
		default:
			p.skip(r.Window, r.Window, SkippedUnproven)
		}
	}
	p.floor = max(p.floor, former.Latest())
}

// HandleFailure records that a read or a write has failed, that its outcome is unknown, or that another holder or a delayed
// write of this one has written the record: it is read again.
func (p *Planner) HandleFailure(now time.Time) {
	p.isRead, p.pending = false, nil
	p.retryAt = now.Add(readRetryDelay)
}

// HandleWritten records that the pending record was written in an era, under the term with a token.
func (p *Planner) HandleWritten(s *Status, token, era, revision int64) {
	if token != p.token || p.pending == nil || era != p.termEra {
		p.HandleFailure(s.Now)
		return
	}
	p.record, p.revision, p.pending, p.carried = p.pending, revision, nil, nil
	for i := range p.record.Unsent {
		p.prove(p.record.Unsent[i].Window, p.record.Unsent[i].Hash())
	}
	for window := range p.accepted {
		if window <= p.recorded-keptProofs {
			delete(p.accepted, window)
		}
	}
}

// HandleSent records whether the platform has accepted a report. If it has not, or did not answer, the report is sent
// again.
func (p *Planner) HandleSent(now time.Time, window int64, accepted bool) {
	p.sending = false
	if accepted {
		if p.accepted == nil {
			p.accepted = map[int64]bool{}
		}
		p.accepted[window] = true
		p.sendDelay = 0
		return
	}
	p.sendDelay = min(max(2*p.sendDelay, minSendDelay), maxSendDelay)
	p.sendAt = now.Add(p.sendDelay)
}
