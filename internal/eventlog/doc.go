// Package eventlog does the input and output of the time line: the pump behind a writer, log files, and sorting on disk.
//
// A Flusher owns one goroutine and leaves all state to its timeline.Writer. A Sorter
// owns its runs and temporary directory and is used by one goroutine. The package
// imports pkg/timeline.
package eventlog
