package eventlog

import (
	"bufio"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// DefaultMemoryLimit bounds the records that a Sorter holds, in bytes.
	DefaultMemoryLimit = 64 << 20
	// recordBytes estimates a decoded record without its line: 400 bytes and the names that it holds.
	recordBytes = 800
	// maxRuns bounds the files open at once; with that many, they are merged into one.
	maxRuns = 64
)

// Sorter sorts records in bounded memory, with sorted runs in a temporary directory.
//
// Alternatives considered: a window over nearly sorted input fails on files in
// any order, and an index in memory grows with the number of lines.
type Sorter struct {
	// Compare compares records, such as timeline.Causal.
	Compare func(a, b *timeline.Record) int
	// MemoryLimit bounds the bytes of records held; 0 means DefaultMemoryLimit.
	MemoryLimit int
	// Duplicates counts the lines that were left out because another file holds them too.
	Duplicates int

	held  []*timeline.Record
	bytes int
	dir   string
	runs  []*os.File
	// RunsWritten counts the runs written.
	RunsWritten int
}

// Add takes one record.
func (s *Sorter) Add(r *timeline.Record) error {
	s.held = append(s.held, r)
	s.bytes += len(r.Raw) + recordBytes
	limit := s.MemoryLimit
	if limit == 0 {
		limit = DefaultMemoryLimit
	}
	if s.bytes < limit {
		return nil
	}
	return s.spill()
}

// ForEach calls f for all records in order, each once.
func (s *Sorter) ForEach(f func(*timeline.Record) error) error {
	slices.SortFunc(s.held, s.Compare)
	sources := []source{&memorySource{held: s.held}}
	for _, run := range s.runs {
		src, err := openRun(run)
		if err != nil {
			return err
		}
		sources = append(sources, src)
	}
	var last *timeline.Record
	return merge(sources, s.Compare, func(r *timeline.Record) error {
		if r.SameLine(last) {
			s.Duplicates++
			return nil
		}
		last = r
		full, err := complete(r)
		if err != nil {
			return err
		}
		return f(full)
	})
}

// Close removes the runs.
func (s *Sorter) Close() error {
	s.held = nil
	for _, f := range s.runs {
		_ = f.Close()
	}
	s.runs = nil
	if s.dir == "" {
		return nil
	}
	return os.RemoveAll(s.dir)
}

// spill writes what is held as a sorted run.
func (s *Sorter) spill() error {
	if len(s.runs) == maxRuns {
		if err := s.compact(); err != nil {
			return err
		}
	}
	slices.SortFunc(s.held, s.Compare)
	err := s.write([]source{&memorySource{held: s.held}})
	clear(s.held)
	s.held, s.bytes = s.held[:0], 0
	return err
}

// compact merges all runs into one.
func (s *Sorter) compact() error {
	old := s.runs
	sources := make([]source, 0, len(old))
	for _, run := range old {
		src, err := openRun(run)
		if err != nil {
			return err
		}
		sources = append(sources, src)
	}
	s.runs = nil
	if err := s.write(sources); err != nil {
		s.runs = append(s.runs, old...)
		return err
	}
	for _, f := range old {
		_ = f.Close()
		_ = os.Remove(f.Name())
	}
	return nil
}

// write adds a run with the merged records of sources.
func (s *Sorter) write(sources []source) error {
	var err error
	if s.dir == "" {
		if s.dir, err = os.MkdirTemp("", "bambooferry-timeline-"); err != nil {
			return errors.Wrap(err, "sort")
		}
	}
	f, err := os.CreateTemp(s.dir, "run-")
	if err != nil {
		return errors.Wrap(err, "sort")
	}
	s.runs = append(s.runs, f)
	s.RunsWritten++
	out := bufio.NewWriterSize(f, runBuffer)
	if err := merge(sources, s.Compare, func(r *timeline.Record) error { return writeRecord(out, r) }); err != nil {
		return err
	}
	return errors.Wrap(out.Flush(), "sort")
}
