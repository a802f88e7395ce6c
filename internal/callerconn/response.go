package callerconn

import (
	"net/http"
	"sync/atomic"
)

// responseWriter announces the close of the connection in the header of each answer of a stopping
// server.
type responseWriter struct {
	http.ResponseWriter
	stopping      *atomic.Bool
	headerWritten bool
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(b)
}

func (w *responseWriter) announceClose() {
	if w.headerWritten {
		return
	}
	w.headerWritten = true
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}
