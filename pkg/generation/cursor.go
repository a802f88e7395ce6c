package generation

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"sync"
	"time"
)

const (
	cursorFormat = 1
	macBytes     = 16
	// MaxCursorBytes bounds the text form of a cursor.
	MaxCursorBytes = 2048
)

// Cursor lets a caller continue its response at any instance.
type Cursor struct {
	Generation string
	Workspace  string
	Entry      string
	Version    string
	Adapter    string
	Target     string
	// Request is the digest of the request that the cursor belongs to.
	Request  Digest
	Seed     uint64
	Tokens   uint64
	Position uint64
	Attempt  uint64
	// Digest covers the tokens before Position.
	Digest  Digest
	Expires time.Time
}

// CursorError is the reason why a cursor was refused.
type CursorError struct {
	// Code is cursor_invalid, cursor_expired or cursor_mismatch.
	Code string
}

func (e *CursorError) Error() string { return e.Code }

// CursorSigner signs and verifies cursors with one or more keys of a deployment.
type CursorSigner struct {
	// Keys holds the signing key first, then older keys that are still accepted.
	Keys [][]byte
}

// Sign returns the text form of a cursor.
func (s CursorSigner) Sign(c *Cursor) string { return string(s.AppendSign(nil, c)) }

// AppendSign appends the text form of a cursor to dst.
func (s CursorSigner) AppendSign(dst []byte, c *Cursor) []byte {
	m := acquireMAC(s.Keys[0])
	defer macPool.Put(m)
	b := append(m.body[:0], cursorFormat)
	for _, f := range [...]string{c.Generation, c.Workspace, c.Entry, c.Version, c.Adapter, c.Target} {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	b = append(b, c.Request[:]...)
	b = append(b, c.Digest[:]...)
	for _, n := range [...]uint64{c.Seed, c.Tokens, c.Position, c.Attempt, uint64(c.Expires.Unix())} {
		b = binary.AppendUvarint(b, n)
	}
	b = append(b, m.sum(b)...)
	m.body = b
	return base64.RawURLEncoding.AppendEncode(dst, b)
}

// Verify checks the signature and the expiry of a cursor's text form and decodes it.
func (s CursorSigner) Verify(now time.Time, text string) (*Cursor, error) {
	invalid := &CursorError{Code: "cursor_invalid"}
	if len(text) > MaxCursorBytes {
		return nil, invalid
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) < 1+macBytes {
		return nil, invalid
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !s.hasValidMAC(body, sum) || body[0] != cursorFormat {
		return nil, invalid
	}
	c, ok := decodeCursor(body[1:])
	if !ok {
		return nil, invalid
	}
	if !now.Before(c.Expires) {
		return nil, &CursorError{Code: "cursor_expired"}
	}
	return c, nil
}

func (s CursorSigner) hasValidMAC(body, sum []byte) bool {
	ok := false
	for _, k := range s.Keys {
		m := acquireMAC(k)
		ok = hmac.Equal(sum, m.sum(body)) || ok
		macPool.Put(m)
	}
	return ok
}

// macPool keeps keyed hashes between signatures: each token is signed, and keying a hash costs four
// allocations and two of the four blocks that are hashed for a cursor.
var macPool sync.Pool

// keyedMAC is a keyed hash with its buffers.
type keyedMAC struct {
	key  []byte
	hash hash.Hash
	body []byte
	out  [sha256.Size]byte
}

func acquireMAC(key []byte) *keyedMAC {
	if m, ok := macPool.Get().(*keyedMAC); ok && bytes.Equal(m.key, key) {
		return m
	}
	return &keyedMAC{key: bytes.Clone(key), hash: hmac.New(sha256.New, key)}
}

// sum returns the signature of body, which is valid until the next call.
func (m *keyedMAC) sum(body []byte) []byte {
	m.hash.Reset()
	m.hash.Write(body)
	return m.hash.Sum(m.out[:0])[:macBytes]
}

func decodeCursor(b []byte) (*Cursor, bool) {
	c, ok := &Cursor{}, true
	for _, f := range []*string{&c.Generation, &c.Workspace, &c.Entry, &c.Version, &c.Adapter, &c.Target} {
		var n uint64
		if n, b, ok = uvarint(b); !ok || n > uint64(len(b)) {
			return nil, false
		}
		*f, b = string(b[:n]), b[n:]
	}
	for _, d := range []*Digest{&c.Request, &c.Digest} {
		if len(b) < DigestBytes {
			return nil, false
		}
		b = b[copy(d[:], b):]
	}
	var expires uint64
	for _, n := range []*uint64{&c.Seed, &c.Tokens, &c.Position, &c.Attempt, &expires} {
		if *n, b, ok = uvarint(b); !ok {
			return nil, false
		}
	}
	c.Expires = time.Unix(int64(expires), 0)
	return c, len(b) == 0
}

func uvarint(b []byte) (uint64, []byte, bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 {
		return 0, b, false
	}
	return n, b[size:], true
}
