package difference

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against values that change by encoding and decoding as a patch.
func TestDecodePatchRestoresValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "base"), rapid.IntRange(1, 30).Draw(t, "times"))
		value := bytes.Clone(base)
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(value)).Draw(t, "at")
			end := rapid.IntRange(at, len(value)).Draw(t, "end")
			value = append(append(append([]byte{}, value[:at]...), rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "new")...), value[end:]...)
		}
		encoded, err := EncodePatch(base, value)
		require.NoError(t, err)
		got, err := DecodePatch(base, encoded, len(value))
		require.NoError(t, err)
		require.True(t, bytes.Equal(value, got))
		if len(value) > 0 {
			_, err = DecodePatch(base, encoded, len(value)-1)
			require.Error(t, err)
		}
	})
}

// Guards against a panic, or a value over the limit, from bytes that are no patch of the base.
func TestDecodePatchOfArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "base")
		encoded, err := Encode(nil, rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "groups"))
		require.NoError(t, err)
		if value, err := DecodePatch(base, encoded, 100); err == nil {
			require.LessOrEqual(t, len(value), 100)
		}
	})
}

// Guards against changes of a value beyond flate's window that are encoded as large as the rest of the value.
func TestChangesOfLongValueEncodeSmall(t *testing.T) {
	for _, routes := range [...]int{200, 1900, 4000} {
		list := make([]string, routes)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range list {
			list[i] = fmt.Sprintf(`{"name":"route-%x","host":"h%x.example","pathPrefix":"/p%x/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":4500,"maxAttempts":5,"service":"drafts","weightedServices":[{"service":"drafts","weight":1}]}`,
				random.Uint32(), random.Uint32(), random.Uint32(), random.IntN(30000))
		}
		base := join(list)
		added := list[7] + "," + list[9][:40] + `x"}`
		changed := append([]string{}, list...)
		changed[routes/3] = added
		changed = append(changed[:routes/2], changed[routes/2+1:]...)
		changed[len(changed)-2] = added
		value := join(changed)
		encoded, err := EncodePatch(base, value)
		require.NoError(t, err)
		require.Less(t, len(encoded), 1000, "%d routes, %d bytes", routes, len(value))
		got, err := DecodePatch(base, encoded, len(value))
		require.NoError(t, err)
		require.True(t, bytes.Equal(value, got))
	}
}

func join(list []string) []byte {
	var out bytes.Buffer
	for _, s := range list {
		out.WriteString(s)
		out.WriteByte(',')
	}
	return out.Bytes()
}
