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

// tokenSource is an engine that generates large tokens and keeps no generations.
//
// The stand-in engine keeps each generation; 200 answers of 1 MiB would take
// more memory there than the memory to be measured.
type tokenSource struct {
	tokenBytes int
	// tokenInterval is the time between the tokens of prompts that begin with steadyPrompt; the tokens of others follow at once.
	tokenInterval  time.Duration
	computedTokens atomic.Int64
	server         *http.Server
	address        netip.AddrPort
}

// steadyPrompt is the beginning of prompts whose tokens are generated at a steady rate.
const steadyPrompt = "steady"

// start serves on a loopback port until close is called.
func (s *tokenSource) start(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = ln.Addr().(*net.TCPAddr).AddrPort()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

func (s *tokenSource) close() { _ = s.server.Close() }

// tokenText returns a token that depends on the prompt and the position.
func (s *tokenSource) tokenText(prompt string, position uint64) string {
	unit := fmt.Sprintf("%s/%d ", prompt, position)
	return strings.Repeat(unit, s.tokenBytes/len(unit)+1)[:s.tokenBytes]
}

// answerText returns the complete text of a generation.
func (s *tokenSource) answerText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(s.tokenText(prompt, uint64(i)))
	}
	return b.String()
}

// ServeHTTP streams the tokens of one attempt.
func (s *tokenSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	req := engine.Request{}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out := bufio.NewWriterSize(w, 4<<10)
	enc := json.NewEncoder(out)
	control := http.NewResponseController(w)
	_ = control.Flush()
	steady := strings.HasPrefix(req.Prompt, steadyPrompt)
	for position := req.From; position < uint64(req.MaxTokens); position++ {
		if enc.Encode(engine.Token{Attempt: req.Attempt, Position: position, Text: s.tokenText(req.Prompt, position)}) != nil {
			return
		}
		s.computedTokens.Add(1)
		if steady {
			if out.Flush() != nil || control.Flush() != nil {
				return
			}
			time.Sleep(s.tokenInterval)
		}
	}
	_ = enc.Encode(engine.Token{Attempt: req.Attempt, Position: uint64(req.MaxTokens), End: "length"})
	_ = out.Flush()
}
