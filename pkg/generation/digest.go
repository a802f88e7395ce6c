package generation

import "crypto/sha256"

// DigestBytes is the length of a Digest.
const DigestBytes = 16

// Digest identifies the text of all tokens before a position.
//
// The digest after each token covers the digest before it, so that it can be continued from a
// cursor without the delivered text.
type Digest [DigestBytes]byte

// Add returns the digest after one more token.
func (d Digest) Add(text string) Digest {
	var buf [DigestBytes + 256]byte
	b := append(buf[:0], d[:]...)
	b = append(b, text...)
	sum := sha256.Sum256(b)
	return Digest(sum[:DigestBytes])
}
