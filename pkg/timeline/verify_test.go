package timeline

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func chainFindings(list []*Record) []Finding {
	list = slices.Clone(list)
	slices.SortStableFunc(list, CompareSource)
	var found []Finding
	c := ChainChecker{OnFinding: func(f Finding) { found = append(found, f) }}
	for _, r := range list {
		c.Check(r)
	}
	c.Finish()
	return found
}

func outcomeFindings(list []*Record) []Finding {
	list = slices.Clone(list)
	slices.SortStableFunc(list, CompareRequest)
	var found []Finding
	o := OutcomeChecker{OnFinding: func(f Finding) { found = append(found, f) }}
	for _, r := range list {
		o.Check(r)
	}
	o.Finish()
	return found
}

func findingKinds(list []Finding) []string {
	k := []string{}
	for _, f := range list {
		k = append(k, f.Kind)
	}
	return k
}

// completeLog returns six valid lines, the last of them log_closed.
func completeLog() []string {
	var out bytes.Buffer
	w := newTestWriter(&out)
	for i := range 5 {
		w.Write(t0.Add(time.Duration(i)*time.Second), Event{Kind: "k", Inputs: []Input{{"n", int64(i)}}})
	}
	w.Close(t0.Add(time.Minute), "stopped")
	_ = w.Flush()
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

// Guards against each way of tampering with a log that the check of its chain must detect.
func TestTamperedLogIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		change func([]string) []string
		want   []string
	}{
		"unchanged":     {func(l []string) []string { return l }, []string{}},
		"line removed":  {func(l []string) []string { return slices.Delete(l, 2, 3) }, []string{LinesMissing}},
		"first removed": {func(l []string) []string { return l[1:] }, []string{LinesMissing}},
		"tail cut":      {func(l []string) []string { return l[:4] }, []string{NoGracefulEnd}},
		"pair swapped":  {func(l []string) []string { l[1], l[2] = l[2], l[1]; return l }, []string{OutOfOrder}},
		"value edited": {func(l []string) []string {
			l[2] = strings.Replace(l[2], `"n":2`, `"n":7`, 1)
			return l
		}, []string{LineAltered}},
		"last edited": {func(l []string) []string {
			l[5] = strings.Replace(l[5], "stopped", "started", 1)
			return l
		}, []string{LineAltered}},
		"sequence numbers swapped": {func(l []string) []string {
			l[1], l[2] = strings.Replace(l[2], `"sequence":3`, `"sequence":2`, 1), strings.Replace(l[1], `"sequence":2`, `"sequence":3`, 1)
			return l
		}, []string{LineAltered, ChainBroken, LineAltered, ChainBroken, ChainBroken}},
		"line of another writer": {func(l []string) []string {
			var out bytes.Buffer
			w := newTestWriter(&out)
			for range 3 {
				w.Write(t0, Event{Kind: "other"})
			}
			l[2] = strings.Split(out.String(), "\n")[2]
			return l
		}, []string{ChainBroken, ChainBroken}},
		"line added": {func(l []string) []string {
			return append(l, strings.Replace(l[5], `"sequence":6`, `"sequence":7`, 1))
		}, []string{LineAltered, AfterClose, ChainBroken}},
		"line twice, edited": {func(l []string) []string {
			return slices.Insert(l, 3, strings.Replace(l[2], `"n":2`, `"n":7`, 1))
		}, []string{LineAltered, OutOfOrder, SequenceTwice, ChainBroken}},
	} {
		t.Run(name, func(t *testing.T) {
			got := findingKinds(chainFindings(decodeLines(t, strings.Join(c.change(completeLog()), "\n"))))
			slices.Sort(got)
			slices.Sort(c.want)
			if name == "line twice, edited" {
				// Which of the two sorts first by its bytes decides whether OutOfOrder is reported too.
				require.Subset(t, c.want, got)
				require.Contains(t, got, SequenceTwice)
				require.Contains(t, got, LineAltered)
				return
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against requests and attempts without an end that go unreported.
func TestMissingOutcomesAreDetected(t *testing.T) {
	begun := Event{Kind: AttemptBegun, Request: "r", Attempt: 1, Target: "t"}
	ended := Event{Kind: AttemptEnded, Request: "r", Attempt: 1, Target: "t", Decision: "unknown"}
	done := Event{Kind: "request_finished", Request: "r", Outcome: "ran"}
	for name, c := range map[string]struct {
		events []Event
		want   []string
	}{
		"complete":                   {[]Event{begun, ended, done}, []string{}},
		"no outcome":                 {[]Event{begun, ended}, []string{NoOutcome}},
		"two outcomes":               {[]Event{begun, ended, done, done}, []string{OutcomeTwice}},
		"open attempt":               {[]Event{begun, done}, []string{AttemptOpen}},
		"attempt without a target":   {[]Event{{Kind: AttemptBegun, Request: "r", Attempt: 1}, done}, []string{}},
		"outcome of another request": {[]Event{done, {Kind: "k"}, {Kind: "k", Request: "q"}}, []string{NoOutcome}},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			w := newTestWriter(&out)
			for _, ev := range c.events {
				w.Write(t0, ev)
			}
			require.Equal(t, c.want, findingKinds(outcomeFindings(decodeLines(t, out.String()))))
		})
	}
}

// Guards against a damaged or hostile file that makes the decoder panic or alter the line.
func FuzzDecode(f *testing.F) {
	for _, l := range completeLog() {
		f.Add([]byte(l))
	}
	f.Add([]byte(`{"wall":1,"instance":"a","sequence":1,"kind":"k","hash":"`))
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := Decode(line)
		if err != nil {
			var le *LineError
			require.ErrorAs(t, err, &le)
			return
		}
		require.Equal(t, line, r.Raw)
		r.HashMatches()
		_ = Sentence(r)
	})
}
