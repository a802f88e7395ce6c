package booking

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var partEpoch = time.Unix(1000, 0)

func partTime(ms int) time.Time { return partEpoch.Add(time.Duration(ms) * time.Millisecond) }

// newPartDetector returns a detector that has seen enough answers to other requests.
func newPartDetector() *PartCrashDetector {
	d := &PartCrashDetector{Retention: 10 * time.Minute, MarkTime: 10 * time.Minute}
	for i := range minRecentAnswers {
		d.RecordAnswer(partTime(-100+i), partTime(-1000), []string{"popular"})
	}
	return d
}

// crashAt records a crash of a target of its own.
func crashAt(d *PartCrashDetector, ms int, request string, parts ...string) {
	d.RecordCrash(partTime(ms), PartCrash{Target: fmt.Sprintf("e%d", ms), At: partTime(ms), Request: request, Parts: parts})
}

func markedParts(d *PartCrashDetector, ms int) []string {
	d.Decide(partTime(ms))
	var parts []string
	for _, m := range d.Marks(partTime(ms)) {
		parts = append(parts, strings.Join(m.parts(), " with "))
	}
	return parts
}

// Guards against wrong verdicts on a part: each case is one more or one less piece of evidence than a mark
// needs.
func TestEvidenceAgainstParts(t *testing.T) {
	for name, c := range map[string]struct {
		record func(d *PartCrashDetector)
		want   []string
	}{
		"three requests": {func(d *PartCrashDetector) {
			crashAt(d, 0, "r1", "bad", "a")
			crashAt(d, 300, "r2", "bad", "b")
			crashAt(d, 600, "r3", "bad", "c")
		}, []string{"bad"}},
		"two crashes": {func(d *PartCrashDetector) {
			crashAt(d, 0, "r1", "rare")
			crashAt(d, 300, "r2", "rare")
		}, nil},
		"one request at four targets": {func(d *PartCrashDetector) {
			for i := range 4 {
				crashAt(d, 300*i, "r1", "rare")
			}
			crashAt(d, 1200, "r2", "rare")
		}, nil},
		"a served part": {func(d *PartCrashDetector) {
			crashAt(d, 0, "r1", "a")
			crashAt(d, 300, "r2", "a")
			d.RecordAnswer(partTime(400), partTime(350), []string{"a"})
			crashAt(d, 600, "r3", "a")
		}, nil},
		"an answer that began before the crashes": {func(d *PartCrashDetector) {
			crashAt(d, 0, "r1", "bad")
			crashAt(d, 300, "r2", "bad")
			crashAt(d, 600, "r3", "bad")
			d.RecordAnswer(partTime(601), partTime(-500), []string{"bad"})
		}, nil},
		"a part that was sound before, after five crashes": {func(d *PartCrashDetector) {
			d.RecordAnswer(partTime(-10), partTime(-500), []string{"bad"})
			for i := range 5 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "bad", fmt.Sprint("p", i))
				d.RecordAnswer(partTime(300*i+200), partTime(300*i+100), []string{"popular"})
			}
		}, []string{"bad"}},
		"at the same moment": {func(d *PartCrashDetector) {
			for i := range 6 {
				crashAt(d, 10*i, fmt.Sprint("r", i), "rare")
			}
		}, nil},
		"beside other crashes at the same moments": {func(d *PartCrashDetector) {
			for i := range 3 {
				crashAt(d, 1000*i, fmt.Sprint("r", i), "rare")
				for j := range 4 {
					crashAt(d, 1000*i+10+j, fmt.Sprint("other", i, j), fmt.Sprint("other", i, j))
				}
			}
		}, nil},
		"a companion that was present at fewer crashes": {func(d *PartCrashDetector) {
			for i := range 4 {
				parts := []string{"bad"}
				if i > 0 {
					parts = append(parts, "companion")
				}
				crashAt(d, 300*i, fmt.Sprint("r", i), parts...)
			}
		}, []string{"bad"}},
		"two parts of different requests, too early": {func(d *PartCrashDetector) {
			for i := range 4 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x")
				d.RecordCrash(partTime(300*i), PartCrash{Target: fmt.Sprintf("e%d", 300*i), At: partTime(300 * i), Request: fmt.Sprint("s", i), Parts: []string{"y"}})
			}
		}, nil},
		"two parts of different requests that are always there": {func(d *PartCrashDetector) {
			for i := range 5 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x")
				d.RecordCrash(partTime(300*i), PartCrash{Target: fmt.Sprintf("e%d", 300*i), At: partTime(300 * i), Request: fmt.Sprint("s", i), Parts: []string{"y"}})
			}
		}, []string{"x", "y"}},
		"two parts that always come together": {func(d *PartCrashDetector) {
			for i := range 3 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x", "y")
			}
		}, []string{"x with y"}},
		"two parts that always come together, of which one was served before": {func(d *PartCrashDetector) {
			d.RecordAnswer(partTime(-40_000), partTime(-41_000), []string{"x"})
			for i := range 3 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x", "y")
			}
		}, []string{"y with x"}},
		"a companion that is served alone later": {func(d *PartCrashDetector) {
			for i := range 3 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x", "y")
			}
			d.Decide(partTime(700))
			d.RecordAnswer(partTime(2000), partTime(1000), []string{"x"})
		}, []string{"y"}},
		"another companion": {func(d *PartCrashDetector) {
			for i := range 3 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x", "y")
			}
			d.RecordAnswer(partTime(650), partTime(-10), []string{"popular"})
			d.Decide(partTime(700))
			crashAt(d, 1000, "r3", "y", "z")
			crashAt(d, 1300, "r3", "y", "z")
		}, []string{"y"}},
		"another companion, once": {func(d *PartCrashDetector) {
			for i := range 3 {
				crashAt(d, 300*i, fmt.Sprint("r", i), "x", "y")
			}
			d.RecordAnswer(partTime(650), partTime(-10), []string{"popular"})
			d.Decide(partTime(700))
			crashAt(d, 1000, "r3", "y", "z")
		}, []string{"x with y"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newPartDetector()
			c.record(d)
			d.RecordAnswer(partTime(2500), partTime(-10), []string{"popular"})
			require.Equal(t, c.want, markedParts(d, 2600))
		})
	}
}

// Guards against marks while targets crash for all requests, which would outlast the fault.
func TestNoMarkWhileNothingIsServed(t *testing.T) {
	d := newPartDetector()
	for i := range 20 {
		crashAt(d, 300*i, fmt.Sprint("r", i), "popular")
	}
	require.Empty(t, markedParts(d, 6100))
}

// Guards against an outage that goes on since a part crashes all targets of a small pool, so that no answer is
// left to compare with, and against blame for a part that most requests have.
func TestPartThatCrashesAllTargets(t *testing.T) {
	for name, c := range map[string]struct {
		arrival []string
		want    []string
	}{
		"a minority has it": {[]string{"popular"}, []string{"bad"}},
		"most have it":      {[]string{"bad"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := &PartCrashDetector{Retention: 10 * time.Minute, MarkTime: 10 * time.Minute}
			for range 40 {
				d.RecordArrival(c.arrival)
			}
			for i := range 5 {
				d.RecordArrival([]string{"bad"})
				crashAt(d, 300*i, fmt.Sprint("r", i), "bad", fmt.Sprint("p", i))
			}
			require.Equal(t, c.want, markedParts(d, 2000))
		})
	}
}

// Guards against marks that end while requests with the part still come, and against ones that never end.
func TestMarkTime(t *testing.T) {
	d := newPartDetector()
	m := PartMark{Part: "bad", Crashes: 3, FirstCrash: partTime(0), LastCrash: partTime(600)}
	require.True(t, d.Mark(partTime(700), m))
	require.False(t, d.Mark(partTime(800), m), "it is known")
	later := partTime(700).Add(9 * time.Minute)
	d.RecordRefusal(later, "bad")
	_, ok := d.Marked(later.Add(9*time.Minute), []string{"a", "bad"})
	require.True(t, ok)
	_, ok = d.Marked(later.Add(11*time.Minute), []string{"bad"})
	require.False(t, ok, "no request with the part came for the mark's time")
	for at := later; at.Before(partTime(700).Add(maxMarkAge)); at = at.Add(9 * time.Minute) {
		d.RecordRefusal(at, "bad")
	}
	_, ok = d.Marked(partTime(701).Add(maxMarkAge), []string{"bad"})
	require.False(t, ok, "a repaired target must be found")
}

// Guards against a mark of another instance that an answer has disproved.
func TestServedPartIsNotMarkedByOthers(t *testing.T) {
	m := PartMark{Part: "a", Crashes: 3, FirstCrash: partTime(0), LastCrash: partTime(600)}
	d := newPartDetector()
	d.RecordAnswer(partTime(1500), partTime(700), []string{"a"})
	require.False(t, d.Mark(partTime(1600), m))
	d = newPartDetector()
	require.True(t, d.Mark(partTime(650), m))
	require.True(t, d.RecordServed(partTime(1600), partTime(700), "a"), "the answer clears the mark")
	require.Empty(t, d.Marks(partTime(1600)))
}
