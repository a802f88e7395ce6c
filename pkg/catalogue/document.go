package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"
)

// FormatVersion is the version of the document format that this package reads and writes.
const FormatVersion = 1

// Document is one revision of the catalogue.
type Document struct {
	Format   int   `json:"format"`
	Revision int64 `json:"revision"`
	// Edit records who stored this revision; the program fills it in.
	Edit       *Edit       `json:"put,omitempty"`
	Entries    []Entry     `json:"entries"`
	Workspaces []Workspace `json:"workspaces"`
}

// Edit describes one accepted edit of the catalogue.
type Edit struct {
	// ID is random, so that an edit whose response was lost can be recognised.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Note states the purpose of the edit.
	Note string `json:"note,omitempty"`
}

// Kind is the kind of targets that an entry has.
type Kind string

// The kinds of entries.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Class is the priority of entries under overload: interactive work is served before batch work.
type Class string

// The classes of entries.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Entry is a model or service that callers request by name.
type Entry struct {
	Name       string           `json:"name"`
	Owner      string           `json:"owner"`
	Kind       Kind             `json:"kind"`
	Class      Class            `json:"class"`
	Limits     Limits           `json:"limits"`
	Version    string           `json:"version"`
	Versions   []Version        `json:"versions"`
	Change     *VersionChange   `json:"change,omitempty"`
	Targets    []Target         `json:"targets"`
	Repeatable []RepeatableCall `json:"repeatable,omitempty"`
}

// Limits bounds the work that an entry accepts.
type Limits struct {
	// InProgress is the maximum number of concurrent requests at the entry's targets.
	InProgress int `json:"in_progress"`
	// Queue is the maximum number of requests that wait on one instance.
	Queue int `json:"queue"`
	// Deadline limits the time from a request's arrival to the end of its answer.
	Deadline Duration `json:"deadline"`
	// BodyBytes bounds the body of one request.
	BodyBytes int64 `json:"body_bytes"`
	// Tokens bounds the output of one generation; it is 0 for services.
	Tokens int `json:"tokens,omitempty"`
}

// Version is one version of an entry's targets.
type Version struct {
	Name    string `json:"name"`
	Adapter string `json:"adapter,omitempty"`
}

// VersionChange requests that traffic be moved to another version by a deadline.
type VersionChange struct {
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	// LargestShare is the maximum share of traffic, from 0 to 1, that the new
	// version gets before the evidence suffices to complete the change.
	LargestShare float64 `json:"largest_share"`
}

// Target is one backend of an entry.
type Target struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	Version    string         `json:"version"`
	// Slots is the maximum number of concurrent requests at the target.
	Slots int `json:"slots"`
	// Role is the role to assign to an engine, such as prefill or decode; if empty, the role is left unchanged.
	Role string `json:"role,omitempty"`
	// Leaving is set when the target is to receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// RepeatableCall identifies calls that may be sent again when their outcome is unknown.
type RepeatableCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Workspace is one customer's account.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the workspace's bearer key.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the workspace's relative weight in fair sharing.
	Weight int `json:"weight"`
	// InProgress is the maximum number of the workspace's concurrent requests.
	InProgress int `json:"in_progress"`
}

// HashKey returns the hash under which a document stores a workspace's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Entry returns the entry with the given name, or nil.
func (d *Document) Entry(name string) *Entry {
	for i := range d.Entries {
		if d.Entries[i].Name == name {
			return &d.Entries[i]
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that the bearer key belongs to, or nil.
func (d *Document) WorkspaceByKey(key string) *Workspace {
	hash := HashKey(key)
	for i := range d.Workspaces {
		if d.Workspaces[i].KeySHA256 == hash {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// Target returns the entry's target with the given name, or nil.
func (e *Entry) Target(name string) *Target {
	for i := range e.Targets {
		if e.Targets[i].Name == name {
			return &e.Targets[i]
		}
	}
	return nil
}

// VersionNamed returns the entry's version with the given name, or nil.
func (e *Entry) VersionNamed(name string) *Version {
	for i := range e.Versions {
		if e.Versions[i].Name == name {
			return &e.Versions[i]
		}
	}
	return nil
}
