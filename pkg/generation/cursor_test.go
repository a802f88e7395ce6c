package generation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testCursor() Cursor {
	return Cursor{
		Generation: "g", Workspace: "w", Entry: "e", Version: "v1", Target: "t", Request: Digest{1}, Seed: 7,
		Tokens: 100, Position: 12, Attempt: 2, Digest: Digest{2}, Expires: time.Unix(2_000_000_000, 0),
	}
}

// Guards against a cursor that loses a field, and against accepting forged and expired ones.
func TestCursorIsVerifiedOrRefused(t *testing.T) {
	s := CursorSigner{Keys: [][]byte{[]byte("0123456789abcdef")}}
	c := testCursor()
	text := s.Sign(&c)
	got, err := s.Verify(time.Unix(1_900_000_000, 0), text)
	require.NoError(t, err)
	require.Equal(t, c, *got)
	for i := range text {
		forged := []byte(text)
		forged[i] ^= 1
		if got, err := s.Verify(time.Unix(1_900_000_000, 0), string(forged)); err == nil {
			require.Equal(t, c, *got)
		}
	}
	_, err = s.Verify(time.Unix(2_000_000_000, 0), text)
	var ce *CursorError
	require.ErrorAs(t, err, &ce)
	require.Equal(t, "cursor_expired", ce.Code)
	_, err = CursorSigner{Keys: [][]byte{[]byte("another key 1234")}}.Verify(time.Unix(1_900_000_000, 0), text)
	require.ErrorAs(t, err, &ce)
	require.Equal(t, "cursor_invalid", ce.Code)
}

// Guards against a key rotation that interrupts responses in progress.
func TestCursorOfOlderKeyIsAccepted(t *testing.T) {
	old, c := []byte("0123456789abcdef"), testCursor()
	text := CursorSigner{Keys: [][]byte{old}}.Sign(&c)
	_, err := CursorSigner{Keys: [][]byte{[]byte("fedcba9876543210"), old}}.Verify(time.Unix(1_900_000_000, 0), text)
	require.NoError(t, err)
}

// Guards against malicious text that makes the decoder panic.
func FuzzCursor(f *testing.F) {
	s := CursorSigner{Keys: [][]byte{[]byte("0123456789abcdef")}}
	c := testCursor()
	f.Add(s.Sign(&c))
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = s.Verify(time.Unix(1_900_000_000, 0), text)
		_, _ = decodeCursor([]byte(text))
	})
}
