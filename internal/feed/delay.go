package feed

import (
	"time"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// delayWindow is the time after which the smallest difference to a clock is measured anew, since clocks drift and one may stop
	// while its machine is suspended.
	delayWindow = time.Minute
	// lateMessage is the delay from which a message is logged as late; a heartbeat counts for little longer.
	lateMessage = time.Second
)

// delayTracker estimates for how long messages were under way, such as in the queue of a full link: a message states how old
// its contents were when it was sent, not when it arrives.
//
// The clocks of two instances differ by an unknown amount, so the message that arrived fastest within a window counts as one
// without a delay.
type delayTracker struct {
	// base is the time to which arrivals refer.
	base   time.Time
	clocks map[uint64]*clockOffset
}

// clockOffset holds the smallest difference between arrival and sending in a window and in the one before.
type clockOffset struct {
	windowAt         time.Time
	smallest, former time.Duration
}

// delay returns for how long a message was under way that was sent at a reading of a clock; 0 is no clock.
func (d *delayTracker) delay(now time.Time, clock uint64, sent time.Duration) time.Duration {
	if clock == 0 {
		return 0
	}
	if d.clocks == nil {
		d.base, d.clocks = now, map[uint64]*clockOffset{}
	}
	offset := now.Sub(d.base) - sent
	o, ok := d.clocks[clock]
	if !ok || now.Sub(o.windowAt) >= 2*delayWindow {
		d.forget(now)
		o = &clockOffset{windowAt: now, smallest: offset, former: offset}
		d.clocks[clock] = o
	} else if now.Sub(o.windowAt) >= delayWindow {
		o.windowAt, o.former, o.smallest = now, o.smallest, offset
	}
	o.smallest = min(o.smallest, offset)
	return offset - min(o.smallest, o.former)
}

// forget removes the clocks of instances that send no more.
func (d *delayTracker) forget(now time.Time) {
	for clock, o := range d.clocks {
		if now.Sub(o.windowAt) >= 2*delayWindow {
			delete(d.clocks, clock)
		}
	}
}

// recordDelay logs when messages begin to arrive late, and when they no longer do.
func (r *Replicator) recordDelay(message *receivedMessage) {
	delay := message.receivedAt.Sub(message.sentAt)
	if late := delay >= lateMessage; late != r.messagesLate {
		r.messagesLate = late
		r.Log.Write(message.receivedAt, timeline.Event{
			Kind: "messages_late", Member: message.Reader, Revision: r.Revision(), Decision: map[bool]string{true: "late", false: "in_time"}[late],
			Inputs: []timeline.Input{{Name: "delay_ms", Value: delay.Milliseconds()}},
		})
	}
}
