package server

import (
	"errors"
	"testing"
)

// FuzzCompletion guards against request bodies that make the decoder panic or fail without a refusal.
func FuzzCompletion(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","prompt":"p","stop":["a"],"n":1}`, `{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"stop":null,"logprobs":false}`, `{"messages":[{"content":{"type":1}}]}`, `[`, `null`, `{"seed":-1}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := completion{}
		if err := decodeJSON(data, &c); err != nil {
			var r *Refusal
			if !errors.As(err, &r) || r.Code == "internal" {
				t.Fatalf("no refusal: %v", err)
			}
			return
		}
		prompt := c.buildPrompt(true)
		c.unsupportedParameter()
		c.invalidParameter()
		if c.contentDigest(prompt, true) == c.contentDigest(prompt, false) {
			t.Fatal("chat and plain requests have the same digest")
		}
	})
}
