package difference

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against values that come out changed, also with a base longer than flate's window.
func TestUnpackRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "base"), rapid.IntRange(1, 400).Draw(t, "times"))
		value := append(append([]byte{}, base[:rapid.IntRange(0, len(base)).Draw(t, "cut")]...), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "more")...)
		packed, err := Encode(base, value)
		require.NoError(t, err)
		got, err := Decode(base, packed, len(value))
		require.NoError(t, err)
		require.True(t, bytes.Equal(value, got))
	})
}

// Guards against a table that is sent whole for each small change.
func TestSmallChangeIsSmall(t *testing.T) {
	var base bytes.Buffer
	for i := range 200 {
		fmt.Fprintf(&base, `{"name":"route-%d","host":"h%d.example","timeout":%d},`, i, i*7919%1000, i*104729%30000)
	}
	value := bytes.Replace(base.Bytes(), []byte(`"route-77"`), []byte(`"route-x"`), 1)
	packed, err := Encode(base.Bytes(), value)
	require.NoError(t, err)
	require.Less(t, len(packed), 300, "of %d bytes", len(value))
}

// Guards against a packed value that fills the memory.
func TestLimit(t *testing.T) {
	packed, err := Encode(nil, make([]byte, 1<<20))
	require.NoError(t, err)
	_, err = Decode(nil, packed, 1<<10)
	large := (*SizeError)(nil)
	require.ErrorAs(t, err, &large)
}
