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
	// MaxNameBytes bounds the length of an instance's name in a claim.
	MaxNameBytes = 128
	// MaxKeyBytes bounds the length of a caller's Idempotency-Key.
	MaxKeyBytes = 256
)

// State is the progress of a claimed call.
type State string

// The states of a claim.
const (
	Running  State = "running"
	Done     State = "done"
	Released State = "released"
)

// Claimant identifies the only instance and incarnation that may send a call; its nonce is unique
// to the claim.
type Claimant struct {
	Instance    string `json:"instance"`
	Incarnation int64  `json:"incarnation"`
	Nonce       string `json:"nonce"`
}

// Claim is the exclusive right to send one call and, once the call has ended, its result.
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

// Result is the outcome of a call: a response, or the reason why the response is not known.
type Result struct {
	Status int      `json:"status,omitempty"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// Omitted is set when the response was larger than the stored limit.
	Omitted bool `json:"omitted,omitempty"`
	// Lost is the reason, in snake case, why the response is not known; the call may have run.
	Lost string `json:"lost,omitempty"`
}

// Header is one header field of a response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Bytes returns the approximate memory that the result uses.
func (r *Result) Bytes() int {
	n := len(r.Body) + len(r.Lost) + 64
	for _, h := range r.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// LimitSize returns the result, without headers and body if it is larger than limit.
func (r *Result) LimitSize(limit int) *Result {
	if r.Bytes() <= limit {
		return r
	}
	return &Result{Status: r.Status, Lost: r.Lost, Omitted: true}
}

// ScopedKey returns the key of a call's claim; keys of different workspaces or entries never
// collide.
func ScopedKey(workspace, entry, key string) string {
	return hashParts(workspace, entry, key)
}

// CallDigest returns a digest that identifies the content of a call.
func CallDigest(method, path, query, contentType string, body []byte) string {
	return hashParts(method, path, query, contentType, string(body))
}

func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		writeLengthPrefixed(h, p)
	}
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}

// writeLengthPrefixed writes the length before the part, so that no two lists of parts give the
// same hash input.
func writeLengthPrefixed(h hash.Hash, p string) {
	h.Write(binary.AppendUvarint(nil, uint64(len(p))))
	h.Write([]byte(p))
}

// ShardOf returns the number of the shard that holds the claim of a scoped key.
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

// Valid reports whether a result received from another instance or the service can be passed on.
//
// An out-of-range status would make net/http panic when it is written to a caller.
func (r *Result) Valid() bool {
	if r.Lost != "" {
		return r.Status >= 0 && r.Status <= maxStatus && len(r.Lost) <= maxLostBytes
	}
	return r.Status >= minStatus && r.Status <= maxStatus
}

// minStatus and maxStatus bound the status codes of final responses.
const (
	minStatus = 200
	maxStatus = 999
)

func isHash(s string) bool {
	return len(s) == 2*hashBytes && strings.Trim(s, "0123456789abcdef") == ""
}
