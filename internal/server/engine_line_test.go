package server

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// Guards against a line of an engine that makes the decoder panic or return an invalid token.
func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"attempt":1,"position":2,"text":"a"}` + "\n"))
	f.Add([]byte(`{"attempt":1,"position":2,"end":"length"}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &lineReader{body: io.NopCloser(bytes.NewReader(nil)), in: bufio.NewReaderSize(bytes.NewReader(data), engine.MaxLineBytes)}
		for {
			tok, err := l.Next()
			if err != nil {
				return
			}
			require.NoError(t, tok.Check())
		}
	})
}

// Guards against the outcome not_run for a request unless the engine itself stated that it did not run it.
func TestNotRunOnlyFromEngineStatement(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		mode   generation.AttemptMode
		want   generation.EventKind
	}{
		{"refused by the engine", 503, `{"outcome":"not_run"}`, generation.Fresh, generation.Refused},
		{"failed without an outcome", 500, `failed`, generation.Fresh, generation.ConnectionLost},
		{"success that states a refusal", 202, `{"outcome":"not_run"}`, generation.Fresh, generation.ConnectionLost},
		{"unknown outcome", 503, `{"outcome":"unknown"}`, generation.Continue, generation.ConnectionLost},
		{"reattach refused says nothing of the record", 503, `{"outcome":"not_run"}`, generation.Reattach, generation.ConnectionLost},
		{"record missing", 404, `{}`, generation.Reattach, generation.RecordMissing},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := &http.Response{StatusCode: c.status, Body: io.NopCloser(strings.NewReader(c.body))}
			require.Equal(t, c.want, openFailureKind(newStatusError(res), c.mode))
		})
	}
}
