package difference

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against values that change by encoding and decoding, also with a base longer than flate's window.
func TestDecodeRestoresValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "base"), rapid.IntRange(1, 400).Draw(t, "times"))
		value := append(append([]byte{}, base[:rapid.IntRange(0, len(base)).Draw(t, "cut")]...), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "more")...)
		encoded, err := Encode(base, value)
		require.NoError(t, err)
		got, err := Decode(base, encoded, len(value))
		require.NoError(t, err)
		require.True(t, bytes.Equal(value, got))
	})
}

// Guards against small changes that are encoded as large as the whole value.
func TestSmallChangeEncodesSmall(t *testing.T) {
	var base bytes.Buffer
	for i := range 200 {
		fmt.Fprintf(&base, `{"name":"route-%d","host":"h%d.example","timeout":%d},`, i, i*7919%1000, i*104729%30000)
	}
	value := bytes.Replace(base.Bytes(), []byte(`"route-77"`), []byte(`"route-x"`), 1)
	encoded, err := Encode(base.Bytes(), value)
	require.NoError(t, err)
	require.Less(t, len(encoded), 300, "of %d bytes", len(value))
}

// Guards against an encoded value that exhausts memory when it is decoded.
func TestDecodeLimit(t *testing.T) {
	encoded, err := Encode(nil, make([]byte, 1<<20))
	require.NoError(t, err)
	_, err = Decode(nil, encoded, 1<<10)
	large := (*SizeError)(nil)
	require.ErrorAs(t, err, &large)
}
