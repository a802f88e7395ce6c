package usage

import (
	"fmt"
	"testing"
	"time"

	"bambooferry.example/bambooferry/pkg/usage"
)

// BenchmarkHandleCounts measures what a message of an instance that serves 30 requests a second costs the holder: at 420
// instances it gets some 900 a second.
func BenchmarkHandleCounts(b *testing.B) {
	clock := time.Now()
	c := usage.Collector{}
	window := usage.WindowOf(clock, testWindow)
	var messages [][]byte
	for i := range 420 {
		m := usage.Counts{Instance: fmt.Sprintf("10.0.%d.%d:8748", i/200, i%200), Incarnation: 1, ClockMillis: clock.UnixMilli(), Windows: usage.Totals{window: {}}}
		for w := range 33 {
			m.Windows[window][fmt.Sprint("huka", (i*7+w*5)%240)] = int64(w + 1)
		}
		list, err := m.Encode()
		if err != nil {
			b.Fatal(err)
		}
		messages = append(messages, list...)
	}
	clocks := usage.ClockEstimate{}
	b.ReportAllocs()
	b.ReportMetric(float64(len(messages[0])), "bytes")
	for i := 0; b.Loop(); i++ {
		m, err := usage.DecodeCounts(messages[i%len(messages)])
		if err != nil {
			b.Fatal(err)
		}
		clocks.ObserveStatement(clock, m.Instance, time.UnixMilli(m.ClockMillis))
		c.Add(clock, window, m)
	}
}
