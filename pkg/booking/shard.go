package booking

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxShardBytes bounds the size of a value of the key-value service.
	MaxShardBytes = 1_000_000
	// maxBytesForClaims is the size above which a shard accepts no new claims, and
	// maxBytesForResponses is the size above which results are recorded without their responses.
	// The smallest claim has over 190 bytes and such a result adds at most 75, so all claims can
	// finish below MaxShardBytes.
	maxBytesForClaims    = 600_000
	maxBytesForResponses = 700_000
	// maxLostBytes bounds the reason stored for a lost response.
	maxLostBytes = 24
	shardFormat  = 1
	// MaxStoredResponseBytes bounds the headers and body that are stored with a claim.
	MaxStoredResponseBytes = 4 << 10
)

// ShardError is the reason why a shard's value cannot be decoded.
type ShardError struct {
	Line int
	Rule string
}

func (e *ShardError) Error() string {
	return fmt.Sprintf("invalid claim shard: line %d: %s", e.Line, e.Rule)
}

// Shard holds the claims of one value of the key-value service, which is encoded as JSON lines with
// one claim each.
type Shard struct {
	claims map[string]encodedClaim
	bytes  int
}

type encodedClaim struct {
	Claim
	line []byte
}

type shardHeader struct {
	Format int `json:"format"`
}

var headerLine = []byte(fmt.Sprintf("{\"format\":%d}\n", shardFormat))

// NewShard returns an empty shard.
func NewShard() *Shard { return &Shard{claims: map[string]encodedClaim{}, bytes: len(headerLine)} }

// DecodeShard decodes a shard's value; an empty value is an empty shard.
func DecodeShard(data []byte) (*Shard, error) {
	s := NewShard()
	if len(data) == 0 {
		return s, nil
	}
	if len(data) > MaxShardBytes {
		return nil, &ShardError{Rule: "value is too large"}
	}
	first, rest, _ := bytes.Cut(data, []byte("\n"))
	h := shardHeader{}
	if err := decodeStrict(first, &h); err != nil || h.Format != shardFormat {
		return nil, &ShardError{Line: 1, Rule: "unknown format"}
	}
	for n := 2; len(rest) > 0; n++ {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		c := Claim{}
		if err := decodeStrict(line, &c); err != nil || !c.valid() {
			return nil, &ShardError{Line: n, Rule: "not a claim"}
		}
		if _, duplicate := s.claims[c.Key]; duplicate {
			return nil, &ShardError{Line: n, Rule: "duplicate key"}
		}
		s.put(c)
	}
	return s, nil
}

func decodeStrict(line []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return &ShardError{Rule: "trailing data on the line"}
	}
	return nil
}

// Encode returns the shard's value; equal shards have equal values.
func (s *Shard) Encode() []byte {
	keys := make([]string, 0, len(s.claims))
	for k := range s.claims {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	out := make([]byte, 0, s.bytes)
	out = append(out, headerLine...)
	for _, k := range keys {
		out = append(out, s.claims[k].line...)
	}
	return out
}

// Bytes returns the size of the shard's value.
func (s *Shard) Bytes() int { return s.bytes }

// Find returns the claim of a key.
func (s *Shard) Find(key string) (Claim, bool) {
	r, ok := s.claims[key]
	return r.Claim, ok
}

// Clone returns an independent copy.
func (s *Shard) Clone() *Shard {
	c := &Shard{claims: make(map[string]encodedClaim, len(s.claims)), bytes: s.bytes}
	for k, r := range s.claims {
		c.claims[k] = r
	}
	return c
}

// Expire removes claims older than the retention and reports whether there were any.
func (s *Shard) Expire(now time.Time, retention time.Duration) bool {
	limit, n := now.Add(-retention).UnixMilli(), len(s.claims)
	for k, r := range s.claims {
		if r.At < limit {
			s.bytes -= len(r.line)
			delete(s.claims, k)
		}
	}
	return len(s.claims) != n
}

func (s *Shard) put(c Claim) {
	line, _ := json.Marshal(c)
	line = append(line, '\n')
	s.bytes += len(line) - len(s.claims[c.Key].line)
	s.claims[c.Key] = encodedClaim{c, line}
}

// fits reports whether the shard's size would be at most limit with c in it.
func (s *Shard) fits(c Claim, limit int) bool {
	line, _ := json.Marshal(c)
	return s.bytes-len(s.claims[c.Key].line)+len(line)+1 <= limit
}
