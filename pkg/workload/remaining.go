package workload

import (
	"math"

	"bambooferry.example/bambooferry/pkg/engine"
)

const (
	// maxStreams bounds the streams that one instance can state of a target, maxTokens and maxTypical the tokens of each:
	// a number, or a multiple of what this instance's own need if that is more. Figures above are taken as false.
	maxStreams = 4096
	maxTokens  = 1 << 17
	maxTypical = 32
)

// Remaining is what is still to be done at a target.
//
// Calls are counted as streams that write only, with their time in steps of usual length as Write.
type Remaining struct {
	// Streams is the number of requests, Readers the number of those without output.
	Streams int
	Readers int
	// Read and Write are the tokens that are still to be read and to be written.
	Read, Write float64
	// Memory is the number of tokens that are kept at the requests' ends.
	Memory float64
}

// FromCounts returns what another instance states.
func FromCounts(c engine.RequestCounts) Remaining {
	return Remaining{Streams: c.Running, Readers: c.Pending, Read: c.Read, Write: c.Write, Memory: c.Memory}
}

// Counts returns what is stated to the other instances.
func (r Remaining) Counts() engine.RequestCounts {
	return engine.RequestCounts{Running: r.Streams, Pending: r.Readers, Read: tenths(r.Read), Write: tenths(r.Write), Memory: tenths(r.Memory)}
}

// tenths rounds a figure for a message; JSON has no NaN and no infinity.
func tenths(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return math.Round(v*10) / 10
}

func (r *Remaining) add(o Remaining) {
	r.Streams += o.Streams
	r.Readers += o.Readers
	r.Read += o.Read
	r.Write += o.Write
	r.Memory += o.Memory
}

// checked returns what an instance states, or what its requests are expected to need if it states no work or figures that
// cannot be true.
func (r Remaining) checked(typical Work) Remaining {
	streams := min(max(r.Streams, 0), maxStreams)
	readers := min(max(r.Readers, 0), streams)
	limit := max(maxTokens, maxTypical*memoryOf(typical)) * float64(streams)
	if streams == 0 && r.Read == 0 && r.Write == 0 {
		limit = maxStreams * maxTokens // copies for backups take memory only
	}
	valid := r.Streams == streams && r.Readers == readers
	for _, v := range []float64{r.Read, r.Write, r.Memory} {
		valid = valid && v >= 0 && v <= limit // false for NaN
	}
	if valid && (streams == 0 || r.Read+r.Write+r.Memory > 0) {
		return r
	}
	n, reading := float64(streams), float64(readers)
	return Remaining{
		Streams: streams, Readers: readers,
		Read: reading * typical.Read / 2, Write: reading*typical.Write + (n-reading)*typical.Write/2, Memory: n * memoryOf(typical),
	}
}

// memoryOf returns the tokens that a request keeps at its end.
func memoryOf(w Work) float64 { return w.Read + w.Write }
