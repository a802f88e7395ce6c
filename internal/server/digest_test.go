package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCompletionDigestCoversAnswerParameters guards against a cursor that is accepted for a request with a different answer.
func TestCompletionDigestCoversAnswerParameters(t *testing.T) {
	seen := map[any]string{}
	for _, body := range []string{
		`{"model":"m","prompt":"p"}`, `{"model":"m2","prompt":"p"}`, `{"model":"m","prompt":"q"}`,
		`{"model":"m","prompt":"p","max_tokens":2}`, `{"model":"m","prompt":"p","seed":0}`, `{"model":"m","prompt":"p","seed":2}`,
		`{"model":"m","prompt":"p","temperature":0}`, `{"model":"m","prompt":"p","temperature":1}`, `{"model":"m","prompt":"p","top_p":1}`,
		`{"model":"m","prompt":"p","presence_penalty":1}`, `{"model":"m","prompt":"p","frequency_penalty":1}`,
		`{"model":"m","prompt":"p","stop":["a","b"]}`, `{"model":"m","prompt":"p","stop":"ab"}`,
	} {
		c := completion{}
		require.NoError(t, decodeJSON([]byte(body), &c))
		d := c.contentDigest(c.Prompt, false)
		require.Empty(t, seen[d], body)
		seen[d] = body
	}
	a, b := completion{}, completion{}
	require.NoError(t, decodeJSON([]byte(`{"model":"m","prompt":"p","stop":["a"],"stream":true}`), &a))
	require.NoError(t, decodeJSON([]byte(`{"stop":"a","user":"u","prompt":"p","model":"m"}`), &b))
	require.Equal(t, a.contentDigest("p", false), b.contentDigest("p", false), "what does not change the answer must not change the digest")
}
