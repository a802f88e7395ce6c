package server

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/booking"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

func repeatedHash(c string) string { return string(bytes.Repeat([]byte(c), 32)) }

func gobEncode(tb testing.TB, v any) []byte {
	var b bytes.Buffer
	require.NoError(tb, gob.NewEncoder(&b).Encode(v))
	return b.Bytes()
}

// decodeValid reports whether data from another instance decodes to a message that passes its Check.
func decodeValid(data []byte, v any) bool {
	if gob.NewDecoder(bytes.NewReader(data)).Decode(v) != nil {
		return false
	}
	c, ok := v.(interface{ Check() error })
	return !ok || c.Check() == nil
}

// FuzzCallMessages guards against messages about calls that pass their checks but then crash an
// instance or lead to an invalid response to a caller.
func FuzzCallMessages(f *testing.F) {
	claimant := booking.Claimant{Instance: "i", Incarnation: 1, Nonce: repeatedHash("a")}
	result := &booking.Result{Status: 201, Header: []booking.Header{{Name: "Location", Value: "/stalls/1"}}, Body: []byte("b")}
	claim := booking.Claim{Key: repeatedHash("b"), Digest: repeatedHash("c"), Claimant: claimant, State: booking.Done, At: 1, Result: result}
	for _, v := range []any{
		CallWrite{Op: booking.Op{Kind: booking.OpFinish, Claim: claim}, WaitMillis: 5},
		booking.Settled{Verdict: booking.Taken, Claim: claim},
		booking.Settled{Verdict: booking.Unwritten},
		booking.Settled{Verdict: booking.Taken, Claim: booking.Claim{Key: repeatedHash("b"), State: booking.Done}},
		CallQuestion{Claimant: claimant, WaitMillis: -1},
		CallState{State: callDone, Result: result},
		CallState{State: callDone},
		CallState{State: callRunning, Result: &booking.Result{Status: 1}},
		CallForward{Method: http.MethodPost, Path: "/stalls", Query: "a=1", Body: []byte("{}"), DeadlineMillis: 10},
		CallForward{Method: " ", Path: "@example", Query: "\n", DeadlineMillis: -1},
		CallOutcome{Running: true},
		CallOutcome{Result: result},
		CallOutcome{Result: &booking.Result{Status: 99}},
		CallOutcome{Refusal: newRefusal(http.StatusBadRequest, "x", "y"), Status: 400},
		CallOutcome{Refusal: &Refusal{}, Status: 7},
		CallLeave{Instance: "i", Closed: true, At: 1, Used: []booking.UsedTicket{{Nonce: repeatedHash("a"), Digest: repeatedHash("c"), Result: result}}},
		CallLeave{Instance: "i", Records: []booking.Op{{Kind: booking.OpRelease, Claim: claim}}},
		booking.Crash{Target: "t", At: 1, Requests: []booking.CrashRequest{{Digest: repeatedHash("d"), Position: 3}}},
	} {
		f.Add(gobEncode(f, v))
	}
	target := catalogue.Target{}
	f.Fuzz(func(t *testing.T, data []byte) {
		w, settled, question, state := &CallWrite{}, &booking.Settled{}, &CallQuestion{}, &CallState{}
		forward, outcome, leave := &CallForward{}, &CallOutcome{}, &CallLeave{}
		if decodeValid(data, w) && w.Op.Valid() {
			shard := booking.NewShard()
			claimed := w.Op
			claimed.Kind = booking.OpClaim
			shard.Apply(claimed)
			shard.Apply(w.Op)
			_, err := booking.DecodeShard(shard.Encode())
			require.NoError(t, err, "an operation must not make the shard unreadable")
		}
		if decodeValid(data, settled) && settled.Verdict == booking.Taken && settled.Claim.State == booking.Done {
			writeToCaller(t, settled.Claim.Result)
		}
		s := &Server{Incarnation: 1}
		s.calls.runs = runTable{byKey: map[string]*trackedRun{}, byNonce: map[string]*trackedRun{}}
		if decodeValid(data, question) {
			require.Equal(t, callForgotten, s.waitOwnCall(t.Context(), question.Claimant).State)
		}
		if decodeValid(data, state) && state.State == callDone {
			writeToCaller(t, state.Result)
		}
		if decodeValid(data, forward) {
			c := &call{method: forward.Method, path: forward.Path, query: forward.Query, header: forward.Header, body: forward.Body, deadline: time.Now()}
			if r, err := c.httpRequest(t.Context(), target); err == nil {
				require.Equal(t, target.Address.String(), r.URL.Host, "a call must not choose its own address")
			}
		}
		if decodeValid(data, outcome) {
			switch {
			case outcome.Refusal != nil:
				writeRefusal(httptest.NewRecorder(), "id", outcome.refusal())
			case outcome.Result != nil:
				writeToCaller(t, outcome.Result)
			}
		}
		if decodeValid(data, leave) && leave.Closed {
			s.calls.departed.add(time.Now(), time.Minute, leave)
			k := &booking.Ticket{Claimant: booking.Claimant{Instance: leave.Instance, Incarnation: leave.Incarnation, Nonce: repeatedHash("a")}, Expires: time.UnixMilli(leave.At)}
			_, ok, _ := s.calls.departed.ticketOutcome(k, repeatedHash("c"))
			require.False(t, ok, "an expired ticket proves nothing")
		}
	})
}

// writeToCaller writes a result to a caller as an instance does.
func writeToCaller(t *testing.T, r *booking.Result) {
	t.Helper()
	s := &Server{Events: &timeline.Writer{}}
	c := &call{method: http.MethodPost, entry: &catalogue.Entry{}, workspace: &catalogue.Workspace{}}
	req := &request{}
	req.terminalWritten.Store(true)
	err := s.writeResult(httptest.NewRecorder(), req, c, modeFirstAnswer, r)
	if err != nil {
		require.Contains(t, []generation.Outcome{generation.Unknown, generation.Ran}, callRefusal(err).Outcome)
	}
}
