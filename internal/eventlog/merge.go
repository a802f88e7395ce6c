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

const runBuffer = 32 << 10

// source gives records in order, and nil at its end.
type source interface {
	next() (*timeline.Record, error)
}

type memorySource struct{ held []*timeline.Record }

func (m *memorySource) next() (*timeline.Record, error) {
	if len(m.held) == 0 {
		return nil, nil
	}
	r := m.held[0]
	m.held = m.held[1:]
	return r, nil
}

// runSource reads a run.
//
// Per record a run holds what all orders compare and then the line, so that a
// merge of runs decodes no line. Its records have only those fields; complete fills in the rest.
type runSource struct{ in *bufio.Reader }

func openRun(f *os.File) (*runSource, error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return nil, errors.Wrap(err, "sort")
	}
	return &runSource{bufio.NewReaderSize(f, runBuffer)}, nil
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
	var n [6]int64
	var text [3][]byte
	for i := range n {
		v, err := binary.ReadVarint(s.in)
		if err != nil {
			return nil, errors.Wrap(err, "sort")
		}
		n[i] = v
	}
	for i := range text {
		size, err := binary.ReadVarint(s.in)
		if err != nil {
			return nil, errors.Wrap(err, "sort")
		}
		if size < 0 || size > timeline.MaxLineBytes {
			return nil, errors.New("sort: a run was changed while it was read")
		}
		text[i] = make([]byte, size)
		if _, err := io.ReadFull(s.in, text[i]); err != nil {
			return nil, errors.Wrap(err, "sort")
		}
	}
	r := &timeline.Record{
		Stamp: timeline.Stamp{Wall: n[2], Logical: n[3]}, FileIndex: int(n[0]), Line: int(n[1]), Incarnation: n[4], Sequence: uint64(n[5]),
		Instance: string(text[0]), Raw: text[2],
	}
	r.Request = string(text[1])
	return r, nil
}

// complete decodes the line of a record that came from a run.
func complete(r *timeline.Record) (*timeline.Record, error) {
	if r.Kind != "" {
		return r, nil
	}
	full, err := timeline.Decode(r.Raw)
	if err != nil {
		return nil, errors.Wrap(err, "sort")
	}
	full.FileIndex, full.Line = r.FileIndex, r.Line
	return full, nil
}

type mergeItem struct {
	record *timeline.Record
	source source
}

type mergeHeap struct {
	items []mergeItem
	order func(a, b *timeline.Record) int
}

func (h *mergeHeap) Len() int           { return len(h.items) }
func (h *mergeHeap) Less(i, j int) bool { return h.order(h.items[i].record, h.items[j].record) < 0 }
func (h *mergeHeap) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *mergeHeap) Push(x any)         { h.items = append(h.items, x.(mergeItem)) }
func (h *mergeHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// merge calls f for the records of all sources in order.
func merge(sources []source, order func(a, b *timeline.Record) int, f func(*timeline.Record) error) error {
	h := &mergeHeap{order: order}
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
