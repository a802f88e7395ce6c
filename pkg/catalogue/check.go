package catalogue

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits on a document's values; a larger value is assumed to be a mistake.
const (
	maxDeadline  = 24 * time.Hour
	maxBodyBytes = 64 << 20
	maxSlots     = 100_000
	maxWeight    = 1000
)

// FieldError states which field of a document violates which rule.
type FieldError struct {
	Path  string
	Value string
	Rule  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q: %s", e.Path, e.Value, e.Rule)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Check returns the first rule that the document violates, as a *FieldError.
func (d *Document) Check() error {
	if d.Format != FormatVersion {
		return newFieldError("format", d.Format, "must be 1")
	}
	if d.Revision < 0 {
		return newFieldError("revision", d.Revision, "must not be negative")
	}
	seen, addresses := map[string]bool{}, map[netip.AddrPort]string{}
	for i := range d.Entries {
		e, path := &d.Entries[i], fmt.Sprintf("entries[%d]", i)
		if seen[e.Name] {
			return newFieldError(path+".name", e.Name, "must be unique")
		}
		seen[e.Name] = true
		if err := e.check(path); err != nil {
			return err
		}
		if err := e.checkAddresses(path, addresses); err != nil {
			return err
		}
	}
	return d.checkWorkspaces()
}

func (d *Document) checkWorkspaces() error {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, w := range d.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		switch {
		case !namePattern.MatchString(w.Name):
			return newFieldError(path+".name", w.Name, "must match "+namePattern.String())
		case names[w.Name]:
			return newFieldError(path+".name", w.Name, "must be unique")
		case len(w.KeySHA256) != 64:
			return newFieldError(path+".key_sha256", "(hidden)", "must be 64 hexadecimal digits")
		case keys[w.KeySHA256]:
			return newFieldError(path+".key_sha256", "(hidden)", "must be unique")
		case w.Weight < 1 || w.Weight > maxWeight:
			return newFieldError(path+".weight", w.Weight, fmt.Sprintf("must be from 1 to %d", maxWeight))
		case w.InProgress < 1 || w.InProgress > maxSlots:
			return newFieldError(path+".in_progress", w.InProgress, fmt.Sprintf("must be from 1 to %d", maxSlots))
		}
		names[w.Name], keys[w.KeySHA256] = true, true
	}
	return nil
}

func (e *Entry) check(path string) error {
	switch {
	case !namePattern.MatchString(e.Name):
		return newFieldError(path+".name", e.Name, "must match "+namePattern.String())
	case e.Owner == "":
		return newFieldError(path+".owner", e.Owner, "must be given")
	case e.Kind != Model && e.Kind != Service:
		return newFieldError(path+".kind", e.Kind, "must be model or service")
	case e.Class != Interactive && e.Class != Batch:
		return newFieldError(path+".class", e.Class, "must be interactive or batch")
	}
	for _, check := range []func(string) error{e.checkLimits, e.checkVersions, e.checkTargets, e.checkRepeatable} {
		if err := check(path); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) checkLimits(path string) error {
	l := &e.Limits
	path += ".limits"
	switch {
	case l.InProgress < 1 || l.InProgress > maxSlots:
		return newFieldError(path+".in_progress", l.InProgress, fmt.Sprintf("must be from 1 to %d", maxSlots))
	case l.Queue < 0 || l.Queue > maxSlots:
		return newFieldError(path+".queue", l.Queue, fmt.Sprintf("must be from 0 to %d", maxSlots))
	case l.Deadline <= 0 || time.Duration(l.Deadline) > maxDeadline:
		return newFieldError(path+".deadline", time.Duration(l.Deadline), fmt.Sprintf("must be above 0 and at most %v", maxDeadline))
	case l.BodyBytes < 1 || l.BodyBytes > maxBodyBytes:
		return newFieldError(path+".body_bytes", l.BodyBytes, fmt.Sprintf("must be from 1 to %d", maxBodyBytes))
	case e.Kind == Model && l.Tokens < 1:
		return newFieldError(path+".tokens", l.Tokens, "must be at least 1 for a model")
	case e.Kind == Service && l.Tokens != 0:
		return newFieldError(path+".tokens", l.Tokens, "must not be given for a service")
	}
	return nil
}

func (e *Entry) checkRepeatable(path string) error {
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodPatch, http.MethodOptions}
	for i, r := range e.Repeatable {
		p := fmt.Sprintf("%s.repeatable[%d]", path, i)
		switch {
		case e.Kind != Service:
			return newFieldError(p, r.Method+" "+r.Path, "must not be given for a model")
		case !slices.Contains(methods, r.Method):
			return newFieldError(p+".method", r.Method, "must be one of "+strings.Join(methods, ", "))
		case !strings.HasPrefix(r.Path, "/"):
			return newFieldError(p+".path", r.Path, "must begin with /")
		}
	}
	return nil
}

// checkAddresses rejects a repeated target address, since the slots behind it would be counted twice.
func (e *Entry) checkAddresses(path string, seen map[netip.AddrPort]string) error {
	for i, t := range e.Targets {
		if other := seen[t.Address]; other != "" {
			return newFieldError(fmt.Sprintf("%s.targets[%d].address", path, i), t.Address, "must be unique; it is also the address of "+other)
		}
		seen[t.Address] = e.Name + "/" + t.Name
	}
	return nil
}

func (e *Entry) checkVersions(path string) error {
	seen := map[string]bool{}
	for i, v := range e.Versions {
		p := fmt.Sprintf("%s.versions[%d].name", path, i)
		if !namePattern.MatchString(v.Name) {
			return newFieldError(p, v.Name, "must match "+namePattern.String())
		}
		if seen[v.Name] {
			return newFieldError(p, v.Name, "must be unique")
		}
		seen[v.Name] = true
	}
	if !seen[e.Version] {
		return newFieldError(path+".version", e.Version, "must be one of the entry's versions")
	}
	c := e.Change
	if c == nil {
		return nil
	}
	switch {
	case !seen[c.To] || c.To == e.Version:
		return newFieldError(path+".change.to", c.To, "must be another of the entry's versions")
	case c.Deadline.IsZero():
		return newFieldError(path+".change.deadline", c.Deadline, "must be given")
	case !(c.LargestShare > 0 && c.LargestShare <= 0.5):
		return newFieldError(path+".change.largest_share", c.LargestShare, "must be above 0 and at most 0.5")
	}
	return nil
}

func (e *Entry) checkTargets(path string) error {
	seen := map[string]bool{}
	for i, t := range e.Targets {
		p := fmt.Sprintf("%s.targets[%d]", path, i)
		switch {
		case !namePattern.MatchString(t.Name):
			return newFieldError(p+".name", t.Name, "must match "+namePattern.String())
		case seen[t.Name]:
			return newFieldError(p+".name", t.Name, "must be unique in the entry")
		case !t.Address.IsValid():
			return newFieldError(p+".address", t.Address, "must be an IP address and port")
		case t.DataCentre == "":
			return newFieldError(p+".data_centre", t.DataCentre, "must be given")
		case e.VersionNamed(t.Version) == nil:
			return newFieldError(p+".version", t.Version, "must be one of the entry's versions")
		case t.Slots < 1 || t.Slots > maxSlots:
			return newFieldError(p+".slots", t.Slots, fmt.Sprintf("must be from 1 to %d", maxSlots))
		case t.Role != "" && e.Kind != Model:
			return newFieldError(p+".role", t.Role, "must not be given for a service")
		case t.Role != "" && !namePattern.MatchString(t.Role):
			return newFieldError(p+".role", t.Role, "must match "+namePattern.String())
		}
		seen[t.Name] = true
	}
	return nil
}

func newFieldError(path string, value any, rule string) error {
	return &FieldError{Path: path, Value: fmt.Sprint(value), Rule: rule}
}
