package server

import (
	"context"
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

// applyMarks applies marks immediately and returns those that are new.
func (v *Versions) applyMarks(now time.Time, marks map[uint64]string, from string) map[uint64]string {
	plans := v.plans()
	newMarks := map[uint64]string{}
	for _, p := range plans {
		reason, ok := marks[p.ID]
		if !ok || v.markFor(p.ID) != "" {
			continue
		}
		newMarks[p.ID] = reason
		v.mu.Lock()
		if v.marks == nil {
			v.marks = map[uint64]string{}
		}
		v.marks[p.ID] = reason
		v.mu.Unlock()
		v.updateView(p.Entry, func(w ChangeView) ChangeView { w.Mark = reason; return w })
		v.Server.Events.Write(now, timeline.Event{
			Kind: "version_marked", Entry: p.Entry, Version: p.To, Revision: p.Revision, Decision: "obey", Why: reason, Target: from,
		})
	}
	return newMarks
}

// broadcastMark applies a new mark and sends it to all members.
func (v *Versions) broadcastMark(ctx context.Context, now time.Time, p version.Plan, reason string) {
	marks := v.applyMarks(now, map[uint64]string{p.ID: reason}, v.Server.ID)
	if len(marks) > 0 {
		v.broadcast(ctx, "Versions.Mark", marks)
	}
}

// broadcast sends an RPC to all other members without waiting. A member that misses it gets the information in the reply to its next report.
func (v *Versions) broadcast(ctx context.Context, method string, in any) {
	self, live := v.liveMembers()
	for _, m := range live {
		if m.ID == self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			_ = v.Server.Peers.Call(ctx, m.Address, method, in, &struct{}{})
		}()
	}
}
