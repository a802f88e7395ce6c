// Package caller implements a small client of entry instances, for the demo, measurements and tests.
//
// It reads streamed responses and, when a connection is lost, resumes them at another
// instance with the last event ID. It owns no state.
package caller
