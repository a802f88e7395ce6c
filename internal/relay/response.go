package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// passOnBuffer is the size of the buffer through which the rest of a long body is passed on.
const passOnBuffer = 8 << 10

// hopHeaders apply to one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// discardBody reads a body of at most maxBufferedBody and reports whether that was all of it. The rest of a longer one would
// be read as the next response on its connection.
func discardBody(body io.Reader) (complete bool) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBufferedBody+1))
	return err == nil && n <= maxBufferedBody
}

// copyHeader copies a target's headers to the response to the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
	// Without an entry net/http would add headers that the target did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := src[name]; !ok {
			dst[name] = nil
		}
	}
}

// writeHeader writes the status and headers of a target's response.
func writeHeader(w http.ResponseWriter, res *http.Response) {
	copyHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
}

// deliverResponse passes on a target's complete response.
func (r *Relay) deliverResponse(w http.ResponseWriter, req *callerRequest, result *attemptResult) {
	if result.unread == nil && result.attempt.res.Request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	}
	writeHeader(w, result.attempt.res)
	_, err := w.Write(result.body)
	result.release()
	if unread := result.unread; unread != nil {
		result.unread = nil
		complete := false
		if err == nil {
			// The writer's own ReadFrom would use a buffer of 32 KiB for as long as the caller reads.
			_, err = io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{unread}, make([]byte, passOnBuffer))
			complete = err == nil
		}
		result.attempt.finish(time.Now(), engine.RequestResult{Failed: !complete || result.attempt.res.StatusCode >= http.StatusInternalServerError}, complete, resultReason(result))
	}
	if err != nil {
		r.logEnd(req, string(generation.Ran), "answer_broken_off", 0)
		panic(http.ErrAbortHandler)
	}
	r.logEnd(req, string(generation.Ran), "answered", result.attempt.res.StatusCode)
}
