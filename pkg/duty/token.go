package duty

import (
	"fmt"
	"time"
)

const (
	// revisionBits is the number of bits of a token that hold the revision. A token has at most 53 bits, so that it is
	// exact as a JSON number.
	revisionBits = 36
	eraBits      = 17
)

// TokenRangeError reports an era or a revision of the store that does not fit into a token.
type TokenRangeError struct {
	Era      int64
	Revision int64
}

func (e *TokenRangeError) Error() string {
	return fmt.Sprintf("era %d and revision %d do not fit into a token", e.Era, e.Revision)
}

// Token returns the token of a write. It grows with each write of a store, also after the store was restored from a
// copy; the error is a *TokenRangeError.
func Token(era, revision int64) (int64, error) {
	if era < 0 || era >= 1<<eraBits || revision <= 0 || revision >= 1<<revisionBits {
		return 0, &TokenRangeError{Era: era, Revision: revision}
	}
	return era<<revisionBits | revision, nil
}

// Term is the right of an instance to carry out a duty.
type Term struct {
	// Token is sent with each call.
	Token int64
	// Key is the duty's key and Revision its revision, on which the store writes of the duty depend, in the store's
	// era Era.
	Key      string
	Revision int64
	Era      int64
	// Until is the end of the term unless it is renewed.
	Until time.Time
}
