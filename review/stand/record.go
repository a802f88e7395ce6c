package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	startedAt time.Time

	mu  sync.Mutex
	out *bufio.Writer
	f   *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{startedAt: time.Now(), out: bufio.NewWriter(f), f: f}, nil
}

// Printf writes one line.
func (r *recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Summary writes one line to the record and to the standard output.
func (r *recorder) Summary(format string, args ...any) {
	r.Printf("summary: "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes the rest.
func (r *recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.f.Close()
}
