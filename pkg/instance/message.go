package instance

import (
	"fmt"
	"time"
)

// Note is one instance's statement about the state of a member.
type Note struct {
	Member
	// Count increases within one incarnation each time that the member refutes its suspicion or death.
	Count uint32
	// Reporter is the monitor that received no answer from the member; set only if the state is Suspect.
	Reporter string
}

// Distance is the round-trip time to a data centre.
type Distance struct {
	DataCentre string
	RoundTrip  time.Duration
}

// Beat is a heartbeat or the answer to one.
type Beat struct {
	From Note
	// Revision is the catalogue revision in force at the sender, and Content a hash of it.
	Revision int64
	Content  uint64
	// Hash is a hash of the sender's table.
	Hash      uint64
	News      []Note
	Distances []Distance
}

// MessageError states which field of a peer's message violates which rule.
type MessageError struct {
	Field string
	Value string
	Rule  string
}

func (e *MessageError) Error() string { return e.Field + ": " + e.Value + ": " + e.Rule }

func newMessageError(field string, value any, rule string) error {
	return &MessageError{Field: field, Value: fmt.Sprintf("%.80v", value), Rule: rule}
}

// Check returns an error for the first invalid field.
func (n *Note) Check() error {
	switch {
	case n.ID == "" || len(n.ID) > maxNameBytes:
		return newMessageError("id", n.ID, "must have 1 to 64 bytes")
	case len(n.DataCentre) > maxNameBytes:
		return newMessageError("data_centre", n.DataCentre, "must have at most 64 bytes")
	case len(n.Reporter) > maxNameBytes || (n.Reporter == "") == (n.State == Suspect) || n.Reporter == n.ID:
		return newMessageError("reporter", n.Reporter, "must name another instance for a suspect and nothing otherwise")
	case n.Incarnation <= 0:
		return newMessageError("incarnation", n.Incarnation, "must be above 0")
	case !n.Address.IsValid() || n.Address.Port() == 0:
		return newMessageError("address", n.Address, "must be an address and port")
	}
	if _, ok := statePrecedence[n.State]; !ok && n.State != Suspect {
		return newMessageError("state", n.State, "must be a known state")
	}
	return nil
}

// Check returns an error for the first invalid field.
func (b *Beat) Check() error {
	if err := b.From.Check(); err != nil {
		return err
	}
	switch {
	case b.From.State != Alive && b.From.State != Leaving:
		return newMessageError("from.state", b.From.State, "must be alive or leaving")
	case b.Revision < 0:
		return newMessageError("revision", b.Revision, "must not be negative")
	case len(b.News) > MaxNews:
		return newMessageError("news", len(b.News), "must be at most 24")
	case len(b.Distances) > MaxDistances:
		return newMessageError("distances", len(b.Distances), "must be at most 16")
	}
	for i := range b.News {
		if err := b.News[i].Check(); err != nil {
			return err
		}
	}
	for _, d := range b.Distances {
		if d.DataCentre == "" || len(d.DataCentre) > maxNameBytes || d.RoundTrip < 0 || d.RoundTrip > time.Minute {
			return newMessageError("distances", d, "must name a data centre and a time up to a minute")
		}
	}
	return nil
}
