package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"
)

// FormatVersion is the document format this package reads and writes.
const FormatVersion = 1

// Document is one revision of the catalogue.
type Document struct {
	Format   int   `json:"format"`
	Revision int64 `json:"revision"`
	// Edit tells who put this revision; it is filled in by the program.
	Edit       *Edit       `json:"put,omitempty"`
	Entries    []Entry     `json:"entries"`
	Workspaces []Workspace `json:"workspaces"`
}

// Edit records one accepted edit.
type Edit struct {
	// ID is random, so that an edit whose answer was lost is found again.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Note says what the edit is for.
	Note string `json:"note,omitempty"`
}

// Kind tells what the targets of an entry are.
type Kind string

// The kinds of entries.
const (
	Model   Kind = "model"
	Service Kind = "service"
)

// Class ranks entries at overload: interactive work goes before batch work.
type Class string

// The classes of entries.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Entry is one thing that callers may ask for by name.
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

// Limits bounds what an entry takes on.
type Limits struct {
	// InProgress is the largest number of requests at the entry's targets at once.
	InProgress int `json:"in_progress"`
	// Queue is the largest number of requests that wait on one instance.
	Queue int `json:"queue"`
	// Deadline bounds a request from its arrival to the end of its answer.
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

// VersionChange asks for traffic to move to another version by a deadline.
type VersionChange struct {
	To       string    `json:"to"`
	Deadline time.Time `json:"deadline"`
	// LargestShare bounds the share of traffic, in parts of 1, that the new
	// version gets before the evidence suffices to complete the change.
	LargestShare float64 `json:"largest_share"`
}

// Target is one back end of an entry.
type Target struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	Version    string         `json:"version"`
	// Slots is the largest number of requests the target can hold at once.
	Slots int `json:"slots"`
	// Role is what an engine is ordered to be, such as prefill or decode; empty leaves it as it is.
	Role string `json:"role,omitempty"`
	// Leaving is set when the target is to receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// RepeatableCall names calls that may be sent again when their outcome is not known.
type RepeatableCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Workspace is one customer's account.
type Workspace struct {
	Name string `json:"name"`
	// KeySHA256 is the hexadecimal SHA-256 of the workspace's bearer key.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the workspace's part in fair sharing, relative to the others.
	Weight int `json:"weight"`
	// InProgress is the largest number of the workspace's requests at once.
	InProgress int `json:"in_progress"`
}

// HashKey returns the form in which a document holds a workspace's key.
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
