package server

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// requireNoAnswer checks that no path to targets takes a text for an answer.
func requireNoAnswer(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, text := range answers {
		for path, send := range targetPaths(t, 10) {
			t.Run(name+", "+path, func(t *testing.T) {
				body, err := send(startEarlyTarget(t, text, false))
				require.Error(t, err, "%q", body)
				require.NotErrorAs(t, err, new(*statusError))
				if sent := (*sendError)(nil); errors.As(err, &sent) {
					require.False(t, sent.NotRun, "it does not state that the target did not run the call")
				}
			})
		}
	}
}

// TestStatusOutsideHTTPIsNoAnswer guards against a header with a status below 100 that is taken for an informational one, or
// for an answer.
func TestStatusOutsideHTTPIsNoAnswer(t *testing.T) {
	token := "{\"attempt\":1,\"position\":0,\"text\":\"a\"}\n"
	answers := map[string]string{}
	for _, status := range []string{"000", "099"} {
		answers[status+" with a length"] = "HTTP/1.1 " + status + " S\r\nContent-Length: 38\r\n\r\n" + token
		answers[status+" that states that it was not run"] = "HTTP/1.1 " + status + " S\r\nBambooferry-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"
		answers[status+" with an answer as its body"] = "HTTP/1.1 " + status + " S\r\nContent-Length: 76\r\n\r\nHTTP/1.1 200 S\r\nContent-Length: 38\r\n\r\n" + token
	}
	requireNoAnswer(t, answers)
}

// TestInvalidFieldNameIsNoAnswer guards against a header in which the name of a field holds a blank or a control byte, and
// that is taken for that of an answer.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	token := "{\"attempt\":1,\"position\":0,\"text\":\"a\"}\n"
	answers := map[string]string{
		"length without its name": "HTTP/1.1 200 S\r\nContent-Length : 38\r\n\r\n" + token,
		"refusal":                 "HTTP/1.1 503 S\r\nX Note: a\r\nBambooferry-Outcome: not_run\r\nContent-Length: 21\r\n\r\n{\"outcome\":\"not_run\"}",
		"informational response":  "HTTP/1.1 103 S\r\nX Note: a\r\n\r\nHTTP/1.1 200 S\r\nContent-Length: 38\r\n\r\n" + token,
	}
	for _, name := range []string{"X Note", "X-Note ", "X\tNote", "X-Note\t", "X\x00Note", "X\x01Note", "X-Note\x7f", "X\rNote"} {
		answers[fmt.Sprintf("%q", name)] = "HTTP/1.1 200 S\r\n" + name + ": a\r\nContent-Length: 38\r\n\r\n" + token
	}
	requireNoAnswer(t, answers)
}
