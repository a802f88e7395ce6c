package booking

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	// TicketPrefix starts each ticket; callers' own keys must not start with it.
	TicketPrefix = "ticket."
	// MaxTicketBytes bounds the text form of a ticket.
	MaxTicketBytes = 640
	ticketFormat   = 1
	ticketMACBytes = 16
)

// Ticket authorises one call whose claim is held only in the memory of one incarnation of one
// instance.
type Ticket struct {
	Claimant
	Workspace string
	Entry     string
	Expires   time.Time
}

// UsedTicket is a ticket whose call may have run, as reported by its instance when it leaves.
type UsedTicket struct {
	Nonce  string `json:"nonce"`
	Digest string `json:"digest"`
	// Result is the outcome of the call, if it is known and there was space for it.
	Result *Result `json:"result,omitempty"`
}

// Valid reports whether a used ticket reported by another instance can be used.
func (u *UsedTicket) Valid() bool {
	return isHash(u.Nonce) && isHash(u.Digest) && (u.Result == nil || u.Result.Valid())
}

// TicketError is the reason why a ticket was refused.
type TicketError struct {
	// Code is ticket_invalid, ticket_expired or ticket_mismatch.
	Code string
}

func (e *TicketError) Error() string { return e.Code }

// TicketSigner signs and verifies tickets with one or more keys of a deployment.
type TicketSigner struct {
	// Keys holds the signing key first, then older keys that are still accepted.
	Keys [][]byte
}

// Sign returns the text form of a ticket.
func (s TicketSigner) Sign(k *Ticket) string {
	b := []byte{ticketFormat}
	for _, f := range []string{k.Instance, k.Workspace, k.Entry} {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	nonce, _ := hex.DecodeString(k.Nonce)
	b = append(b, nonce...)
	b = binary.AppendUvarint(b, uint64(k.Incarnation))
	b = binary.AppendUvarint(b, uint64(k.Expires.UnixMilli()))
	b = append(b, ticketMAC(s.Keys[0], b)...)
	return TicketPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// Verify decodes a ticket and checks its signature, expiry, workspace and entry.
func (s TicketSigner) Verify(now time.Time, text, workspace, entry string) (*Ticket, error) {
	k, ok := s.decodeSigned(text)
	switch {
	case !ok:
		return nil, &TicketError{"ticket_invalid"}
	case k.Workspace != workspace || k.Entry != entry:
		return nil, &TicketError{"ticket_mismatch"}
	case !now.Before(k.Expires):
		return k, &TicketError{"ticket_expired"}
	}
	return k, nil
}

func (s TicketSigner) decodeSigned(text string) (*Ticket, bool) {
	text, ok := strings.CutPrefix(text, TicketPrefix)
	if !ok || len(text) > MaxTicketBytes {
		return nil, false
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < 1+ticketMACBytes {
		return nil, false
	}
	body, sum := b[:len(b)-ticketMACBytes], b[len(b)-ticketMACBytes:]
	for _, key := range s.Keys {
		if hmac.Equal(sum, ticketMAC(key, body)) {
			return decodeTicket(body)
		}
	}
	return nil, false
}

// ticketMAC starts its input with a prefix of its own, since other texts are signed with the same
// keys.
func ticketMAC(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("bambooferry ticket\n"))
	h.Write(body)
	return h.Sum(nil)[:ticketMACBytes]
}

func decodeTicket(b []byte) (*Ticket, bool) {
	if len(b) == 0 || b[0] != ticketFormat {
		return nil, false
	}
	k, b := &Ticket{}, b[1:]
	for _, f := range []*string{&k.Instance, &k.Workspace, &k.Entry} {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(len(b)-size) {
			return nil, false
		}
		*f, b = string(b[size:size+int(n)]), b[size+int(n):]
	}
	if len(b) < hashBytes {
		return nil, false
	}
	k.Nonce, b = hex.EncodeToString(b[:hashBytes]), b[hashBytes:]
	var expires int64
	for _, v := range []*int64{&k.Incarnation, &expires} {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > 1<<62 {
			return nil, false
		}
		*v, b = int64(n), b[size:]
	}
	k.Expires = time.UnixMilli(expires)
	return k, len(b) == 0 && k.valid()
}
