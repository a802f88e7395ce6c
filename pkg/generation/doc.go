// Package generation decides how one long generation continues when its engines fail.
//
// A Stream receives events (tokens, ends, lost connections, the passing of time) and returns
// actions (begin an attempt, cancel one, deliver a token, finish). A Cursor lets a caller continue
// at another instance. A TimeoutEstimator estimates how long a target may be silent, and a
// ResumeQueue orders resumes after a large loss. None of them does I/O or locks: the caller owns and
// guards them and does the I/O. The package imports only pkg/engine.
package generation
