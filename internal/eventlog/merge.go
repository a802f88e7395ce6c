package eventlog

import (
	"bufio"
	"container/heap"
	"encoding/binary"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

// runBufferBytes is the size of the buffer with which a run is read or written.
const runBufferBytes = 32 << 10

// recordSource returns records in order, then nil.
type recordSource interface {
	next() (*timeline.Record, error)
}

type memorySource struct{ records []*timeline.Record }

func (m *memorySource) next() (*timeline.Record, error) {
	if len(m.records) == 0 {
		return nil, nil
	}
	r := m.records[0]
	m.records = m.records[1:]
	return r, nil
}

// runSource reads the records of a run, a sorted temporary file.
//
// For each record a run holds the fields used by all comparisons, followed by the raw line,
// so that merging runs decodes no lines. Its records have only these fields set;
// decodeRunRecord returns the whole record.
type runSource struct{ in *bufio.Reader }

func openRun(f *os.File) (*runSource, error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return nil, errors.Wrap(err, "sort")
	}
	return &runSource{bufio.NewReaderSize(f, runBufferBytes)}, nil
}

func writeRecord(out *bufio.Writer, r *timeline.Record) error {
	b := out.AvailableBuffer()
	for _, n := range []int64{int64(r.FileIndex), int64(r.Line), r.Wall, r.Logical, r.Incarnation, int64(r.Sequence)} {
		b = binary.AppendVarint(b, n)
	}
	for _, s := range []string{r.Instance, r.Request} {
		b = append(binary.AppendVarint(b, int64(len(s))), s...)
	}
	b = append(binary.AppendVarint(b, int64(len(r.Raw))), r.Raw...)
	_, err := out.Write(b)
	return errors.Wrap(err, "sort")
}

func (s *runSource) next() (*timeline.Record, error) {
	if _, err := s.in.Peek(1); err == io.EOF {
		return nil, nil
	}
	var ints [6]int64
	var texts [3][]byte
	for i := range ints {
		value, err := binary.ReadVarint(s.in)
		if err != nil {
			return nil, errors.Wrap(err, "sort")
		}
		ints[i] = value
	}
	for i := range texts {
		size, err := binary.ReadVarint(s.in)
		if err != nil {
			return nil, errors.Wrap(err, "sort")
		}
		if size < 0 || size > timeline.MaxLineBytes {
			return nil, errors.New("sort: a temporary file was modified while it was read")
		}
		texts[i] = make([]byte, size)
		if _, err := io.ReadFull(s.in, texts[i]); err != nil {
			return nil, errors.Wrap(err, "sort")
		}
	}
	r := &timeline.Record{
		Stamp: timeline.Stamp{Wall: ints[2], Logical: ints[3]}, FileIndex: int(ints[0]), Line: int(ints[1]), Incarnation: ints[4], Sequence: uint64(ints[5]),
		Instance: string(texts[0]), Raw: texts[2],
	}
	r.Request = string(texts[1])
	return r, nil
}

// decodeRunRecord decodes the raw line of a record read from a run; it returns any other record unchanged.
func decodeRunRecord(r *timeline.Record) (*timeline.Record, error) {
	if r.Kind != "" {
		return r, nil
	}
	decoded, err := timeline.Decode(r.Raw)
	if err != nil {
		return nil, errors.Wrap(err, "sort")
	}
	decoded.FileIndex, decoded.Line = r.FileIndex, r.Line
	return decoded, nil
}

type mergeItem struct {
	record *timeline.Record
	source recordSource
}

type mergeHeap struct {
	items   []mergeItem
	compare func(a, b *timeline.Record) int
}

func (h *mergeHeap) Len() int           { return len(h.items) }
func (h *mergeHeap) Less(i, j int) bool { return h.compare(h.items[i].record, h.items[j].record) < 0 }
func (h *mergeHeap) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *mergeHeap) Push(x any)         { h.items = append(h.items, x.(mergeItem)) }
func (h *mergeHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// mergeSources calls f for the records of all sources, in order.
func mergeSources(sources []recordSource, compare func(a, b *timeline.Record) int, f func(*timeline.Record) error) error {
	h := &mergeHeap{compare: compare}
	for _, s := range sources {
		r, err := s.next()
		if err != nil {
			return err
		}
		if r != nil {
			h.items = append(h.items, mergeItem{r, s})
		}
	}
	heap.Init(h)
	for h.Len() > 0 {
		top := h.items[0]
		if err := f(top.record); err != nil {
			return err
		}
		r, err := top.source.next()
		switch {
		case err != nil:
			return err
		case r == nil:
			heap.Pop(h)
		default:
			h.items[0].record = r
			heap.Fix(h, 0)
		}
	}
	return nil
}
