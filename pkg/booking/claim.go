package booking

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strconv"
	"strings"
)

const (
	hashBytes = 16
	// MaxNameBytes bounds an instance's name in a claim.
	MaxNameBytes = 128
	// MaxKeyBytes bounds a caller's Idempotency-Key.
	MaxKeyBytes = 256
)

// State tells how far a claimed call is.
type State string

// The states of a claim.
const (
	Running  State = "running"
	Done     State = "done"
	Released State = "released"
)

// Claimant is the one incarnation of one instance that may send a call, with a number for this claim alone.
type Claimant struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Claim is the right to send one call, and later its result.
type Claim struct {
	// Key is the hash of workspace, entry and the caller's key.
	Key string `json:"key"`
	// Digest identifies the call's content.
	Digest string `json:"digest"`
	Claimant
	State State `json:"state"`
	// At is the time of the claim in Unix milliseconds.
	At     int64   `json:"at"`
	Result *Result `json:"result,omitempty"`
}

// Result is how a call ended.
type Result struct {
	Status int      `json:"status,omitempty"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// Omitted is set when the answer was larger than what is kept.
	Omitted bool `json:"omitted,omitempty"`
	// Lost tells, in snake case, why the answer is not known; the call may have run.
	Lost string `json:"lost,omitempty"`
}

// Header is one header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Bytes returns what the result takes in memory, roughly.
func (r *Result) Bytes() int {
	n := len(r.Body) + len(r.Lost) + 64
	for _, h := range r.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// LimitSize returns the result, without headers and body if they are larger than limit.
func (r *Result) LimitSize(limit int) *Result {
	if r.Bytes() <= limit {
		return r
	}
	return &Result{Status: r.Status, Lost: r.Lost, Omitted: true}
}

// ScopedKey returns the name of a call's claim; keys of different workspaces or entries never meet.
func ScopedKey(workspace, entry, key string) string {
	return hashOf(workspace, entry, key)
}

// CallDigest identifies the content of a call.
func CallDigest(method, path, query, contentType string, body []byte) string {
	return hashOf(method, path, query, contentType, string(body))
}

func hashOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		writePart(h, p)
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// writePart puts the length first, so that no two lists of parts give the same input.
func writePart(h hash.Hash, p string) {
	h.Write(binary.AppendUvarint(nil, uint64(len(p))))
	h.Write([]byte(p))
}

// ShardOf returns the shard that holds a scoped key's claim.
func ShardOf(key string, shards int) int {
	n, err := strconv.ParseUint(key[:min(8, len(key))], 16, 32)
	if err != nil || shards < 1 {
		return 0
	}
	return int(n % uint64(shards))
}

func (c *Claim) valid() bool {
	return isHash(c.Key) && isHash(c.Digest) && c.Claimant.valid() && c.At > 0 &&
		slices.Contains([]State{Running, Done, Released}, c.State) && (c.State == Done) == (c.Result != nil) &&
		(c.Result == nil || c.Result.Valid())
}

func (c *Claimant) valid() bool {
	return c.Instance != "" && len(c.Instance) <= MaxNameBytes && isHash(c.Nonce)
}

// Valid reports whether a result from another instance or the service can be passed on.
//
// A status out of range would make net/http panic when it is written to a caller.
func (r *Result) Valid() bool {
	if r.Lost != "" {
		return r.Status >= 0 && r.Status <= maxStatus && len(r.Lost) <= maxLost
	}
	return r.Status >= minStatus && r.Status <= maxStatus
}

// minStatus and maxStatus bound the status codes of final answers.
const (
	minStatus = 200
	maxStatus = 999
)

func isHash(s string) bool {
	return len(s) == 2*hashBytes && strings.Trim(s, "0123456789abcdef") == ""
}
