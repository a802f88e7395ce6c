package booking

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxUnconfirmedCrashes bounds the losses that are held.
	maxUnconfirmedCrashes = 512
	// refusedRetention is how long a loss is held whose target refused a connection, and silentRetention how long one is held whose
	// target was silent: it may have ended much later, for another reason.
	refusedRetention = time.Minute
	silentRetention  = 20 * time.Second
)

// UnconfirmedCrash is a request that was lost at a target which may have crashed, or to which only the path was lost.
type UnconfirmedCrash struct {
	// Target is the incarnation, and Address its address.
	Target  string
	Address netip.AddrPort
	// LostAt is when the request was lost, and StartedAt when its attempt began.
	LostAt    time.Time
	StartedAt time.Time
	// Request identifies the request by its content, and Parts are the parts of its prompt that may have crashed the target.
	Request string
	Parts   []string
	// Refused is set if the address refused a new connection.
	Refused bool
	// Own is set if this instance has lost the request.
	Own bool
}

// TargetFate is what the list of targets shows about a target.
type TargetFate int

const (
	// TargetListed is a target that is listed.
	TargetListed TargetFate = iota
	// TargetLeaving is a target that has stated that it leaves, so that its end shows nothing.
	TargetLeaving
	// TargetReplaced is a target at whose address another incarnation is listed.
	TargetReplaced
	// TargetGone is a target whose entry has ended, without another one at its address.
	TargetGone
)

// UnconfirmedCrashes holds losses until the list of targets shows that their target has ended without leaving. Targets write their
// entries themselves, so the list tells a crash from a lost path also while no target can be reached. Its zero value is ready for use.
type UnconfirmedCrashes struct{ list []UnconfirmedCrash }

// Record adds a loss, unless it is known.
func (u *UnconfirmedCrashes) Record(now time.Time, c UnconfirmedCrash) {
	u.dropExpired(now)
	if u.isExpired(now, &c) || slices.ContainsFunc(u.list, func(k UnconfirmedCrash) bool {
		return k.Target == c.Target && k.Request == c.Request && k.LostAt.Sub(c.LostAt).Abs() < sameCrashWindow
	}) {
		return
	}
	u.list = append(u.list, c)
	u.list = u.list[max(len(u.list)-maxUnconfirmedCrashes, 0):]
}

// Empty reports whether no loss is held.
func (u *UnconfirmedCrashes) Empty() bool { return len(u.list) == 0 }

// Confirm returns the losses whose target has crashed by its fate, and holds these and those of leaving targets no longer.
func (u *UnconfirmedCrashes) Confirm(now time.Time, fate func(c *UnconfirmedCrash) TargetFate) []UnconfirmedCrash {
	u.dropExpired(now)
	var confirmed []UnconfirmedCrash
	u.list = slices.DeleteFunc(u.list, func(c UnconfirmedCrash) bool {
		switch fate(&c) {
		case TargetReplaced:
			confirmed = append(confirmed, c)
			return true
		case TargetGone:
			// A silent target whose entry ends may have lost all its links.
			if c.Refused {
				confirmed = append(confirmed, c)
			}
			return c.Refused
		case TargetLeaving:
			return true
		}
		return false
	})
	return confirmed
}

func (u *UnconfirmedCrashes) isExpired(now time.Time, c *UnconfirmedCrash) bool {
	if c.Refused {
		return now.Sub(c.LostAt) > refusedRetention
	}
	return now.Sub(c.LostAt) > silentRetention
}

func (u *UnconfirmedCrashes) dropExpired(now time.Time) {
	u.list = slices.DeleteFunc(u.list, func(c UnconfirmedCrash) bool { return u.isExpired(now, &c) })
}
