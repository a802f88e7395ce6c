package eventlog

import (
	"bufio"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"bambooferry.example/bambooferry/pkg/timeline"
)

const (
	// DefaultMemoryLimit bounds the records that a Sorter holds in memory, in bytes.
	DefaultMemoryLimit = 64 << 20
	// recordOverhead estimates the size of a decoded record without its raw line: 400 bytes and its strings.
	recordOverhead = 800
	// maxRuns bounds the files open at once; when it is reached, all runs are merged into one.
	maxRuns = 64
)

// Sorter sorts records in bounded memory by an external merge sort, with runs in a temporary directory.
//
// Alternatives considered: a sliding window over nearly sorted input fails on files in
// arbitrary order, and an index in memory grows with the number of lines.
type Sorter struct {
	// Compare compares two records, for example timeline.CompareCausal.
	Compare func(a, b *timeline.Record) int
	// MemoryLimit bounds the bytes of records held in memory; 0 means DefaultMemoryLimit.
	MemoryLimit int
	// Duplicates counts the lines that were omitted because another file has them too.
	Duplicates int

	buffered      []*timeline.Record
	bufferedBytes int
	tempDir       string
	runFiles      []*os.File
	// RunsWritten counts the runs written to disk.
	RunsWritten int
}

// Add adds a record.
func (s *Sorter) Add(r *timeline.Record) error {
	s.buffered = append(s.buffered, r)
	s.bufferedBytes += len(r.Raw) + recordOverhead
	limit := s.MemoryLimit
	if limit == 0 {
		limit = DefaultMemoryLimit
	}
	if s.bufferedBytes < limit {
		return nil
	}
	return s.writeBufferedRun()
}

// ForEach calls f for all records in order, omitting duplicates.
func (s *Sorter) ForEach(f func(*timeline.Record) error) error {
	slices.SortFunc(s.buffered, s.Compare)
	sources := []recordSource{&memorySource{records: s.buffered}}
	for _, run := range s.runFiles {
		src, err := openRun(run)
		if err != nil {
			return err
		}
		sources = append(sources, src)
	}
	var last *timeline.Record
	return mergeSources(sources, s.Compare, func(r *timeline.Record) error {
		if r.SameLine(last) {
			s.Duplicates++
			return nil
		}
		last = r
		decoded, err := decodeRunRecord(r)
		if err != nil {
			return err
		}
		return f(decoded)
	})
}

// Close removes the temporary files.
func (s *Sorter) Close() error {
	s.buffered = nil
	for _, f := range s.runFiles {
		_ = f.Close()
	}
	s.runFiles = nil
	if s.tempDir == "" {
		return nil
	}
	return os.RemoveAll(s.tempDir)
}

// writeBufferedRun writes the records held in memory as a sorted run.
func (s *Sorter) writeBufferedRun() error {
	if len(s.runFiles) == maxRuns {
		if err := s.mergeRuns(); err != nil {
			return err
		}
	}
	slices.SortFunc(s.buffered, s.Compare)
	err := s.writeRun([]recordSource{&memorySource{records: s.buffered}})
	clear(s.buffered)
	s.buffered, s.bufferedBytes = s.buffered[:0], 0
	return err
}

// mergeRuns merges all runs into one.
func (s *Sorter) mergeRuns() error {
	old := s.runFiles
	sources := make([]recordSource, 0, len(old))
	for _, run := range old {
		src, err := openRun(run)
		if err != nil {
			return err
		}
		sources = append(sources, src)
	}
	s.runFiles = nil
	if err := s.writeRun(sources); err != nil {
		s.runFiles = append(s.runFiles, old...)
		return err
	}
	for _, f := range old {
		_ = f.Close()
		_ = os.Remove(f.Name())
	}
	return nil
}

// writeRun adds a run that holds the merged records of sources.
func (s *Sorter) writeRun(sources []recordSource) error {
	var err error
	if s.tempDir == "" {
		if s.tempDir, err = os.MkdirTemp("", "bambooferry-timeline-"); err != nil {
			return errors.Wrap(err, "sort")
		}
	}
	f, err := os.CreateTemp(s.tempDir, "run-")
	if err != nil {
		return errors.Wrap(err, "sort")
	}
	s.runFiles = append(s.runFiles, f)
	s.RunsWritten++
	out := bufio.NewWriterSize(f, runBufferBytes)
	if err := mergeSources(sources, s.Compare, func(r *timeline.Record) error { return writeRecord(out, r) }); err != nil {
		return err
	}
	return errors.Wrap(out.Flush(), "sort")
}
