package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"bambooferry.example/bambooferry/pkg/engine"
)

// source is an engine that generates large tokens and keeps nothing of what it sent.
//
// The stand-in engine keeps each generation; 200 answers of 1 MiB from it would
// take more memory than what is measured.
type source struct {
	tokenBytes int
	// gap is the time between the tokens of prompts that begin with steadyPrompt; others have none.
	gap      time.Duration
	computed atomic.Int64
	server   *http.Server
	address  netip.AddrPort
}

// steadyPrompt begins the prompts whose tokens come at a steady pace.
const steadyPrompt = "steady"

// start serves on a loopback port until close.
func (s *source) start(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = ln.Addr().(*net.TCPAddr).AddrPort()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

func (s *source) close() { _ = s.server.Close() }

// text returns a token that depends on prompt and position.
func (s *source) text(prompt string, position uint64) string {
	t := fmt.Sprintf("%s/%d ", prompt, position)
	return strings.Repeat(t, s.tokenBytes/len(t)+1)[:s.tokenBytes]
}

// answer returns the whole text of a generation.
func (s *source) answer(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(s.text(prompt, uint64(i)))
	}
	return b.String()
}

// ServeHTTP streams the tokens of one attempt.
func (s *source) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	q := engine.Request{}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out := bufio.NewWriterSize(w, 4<<10)
	enc := json.NewEncoder(out)
	control := http.NewResponseController(w)
	_ = control.Flush()
	steady := strings.HasPrefix(q.Prompt, steadyPrompt)
	for n := q.From; n < uint64(q.MaxTokens); n++ {
		if enc.Encode(engine.Token{Attempt: q.Attempt, Position: n, Text: s.text(q.Prompt, n)}) != nil {
			return
		}
		s.computed.Add(1)
		if steady {
			if out.Flush() != nil || control.Flush() != nil {
				return
			}
			time.Sleep(s.gap)
		}
	}
	_ = enc.Encode(engine.Token{Attempt: q.Attempt, Position: uint64(q.MaxTokens), End: "length"})
	_ = out.Flush()
}
