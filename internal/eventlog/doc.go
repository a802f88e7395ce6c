// Package eventlog does the input and output of event logs: it flushes a writer's queue, reads log files and sorts them on disk.
//
// A Flusher owns one goroutine; all other state belongs to its timeline.Writer. A Sorter
// owns its runs and temporary directory and must be used by one goroutine only. The
// package imports pkg/timeline.
package eventlog
