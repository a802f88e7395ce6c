package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeader puts a target's headers into the answer to the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		if name == "Connection" && dst.Get(name) == "close" && src.Get(name) == "" {
			continue
		}
		dst.Del(name)
	}
	// Without an entry net/http would add headers that the target did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := src[name]; !ok {
			dst[name] = nil
		}
	}
}

// head writes the status and headers of a target's answer.
func (r *Relay) head(w http.ResponseWriter, res *http.Response) {
	closing := r.stopping.Load() != nil
	copyHeader(w.Header(), res.Header)
	if closing {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(res.StatusCode)
}

// deliver passes a target's whole answer on.
func (r *Relay) deliver(w http.ResponseWriter, q *query, p *reply) {
	if p.rest == nil && p.s.res.Request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	r.head(w, p.s.res)
	_, err := w.Write(p.body)
	if p.rest != nil {
		whole := false
		if err == nil {
			_, err = io.Copy(w, p.rest)
			whole = err == nil
		}
		p.s.done(time.Now(), engine.Result{Failed: !whole}, whole, resultWhy(p))
	}
	if err != nil {
		r.ended(q, string(generation.Ran), "answer_broken_off", 0)
		panic(http.ErrAbortHandler)
	}
	r.ended(q, string(generation.Ran), "answered", p.s.res.StatusCode)
}
