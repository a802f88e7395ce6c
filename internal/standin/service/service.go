package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Faults selects the ways in which the service fails.
type Faults struct {
	// Die stops the service and closes its connections.
	Die bool `json:"die"`
	// Pause holds back all responses until it is cleared.
	Pause bool `json:"pause"`
	// Refuse rejects calls with status 503 and outcome not_run.
	Refuse bool `json:"refuse"`
	// LoseResponses runs that many calls and closes their connections without a response.
	LoseResponses int `json:"lose_answers"`
	// DieBeforeRun and DieAfterRun end the service at the next call, before or after running it.
	DieBeforeRun bool `json:"die_before"`
	DieAfterRun  bool `json:"die_after"`
	// CrashOnBody is the text whose presence in a request body crashes the service.
	CrashOnBody string `json:"crash_on"`
	// Delay delays each response.
	Delay catalogue.Duration `json:"delay"`
	// Fail responds with status 500 after running the call.
	Fail bool `json:"fail"`
}

// Service is one stand-in service. Set its exported fields before Run.
type Service struct {
	Listen  netip.AddrPort
	Version string
	// MaxCalls is the number of concurrent calls above which the service crashes.
	MaxCalls int

	mu          sync.Mutex
	faults      Faults
	runCounts   map[string]int
	activeCalls int
	peakCalls   int
	overloaded  bool
	// unpaused is closed unless the service is paused.
	unpaused chan struct{}
	address  netip.AddrPort
	killed   chan struct{}
	ready    chan struct{}
	initOnce sync.Once
}

// Response is the body of the response to a call.
type Response struct {
	// Run is how often a call with this content has run here, including this one.
	Run     int    `json:"run"`
	Path    string `json:"path"`
	Version string `json:"version"`
	// ContentHash identifies the call's content.
	ContentHash string `json:"receipt"`
}

func (s *Service) init() {
	s.initOnce.Do(func() {
		s.runCounts = map[string]int{}
		s.killed, s.ready = make(chan struct{}), make(chan struct{})
		s.unpaused = make(chan struct{})
		close(s.unpaused)
	})
}

// Run serves until the context is cancelled or the service is killed.
func (s *Service) Run(ctx context.Context) error {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen.String())
	if err != nil {
		return err
	}
	s.address = ln.Addr().(*net.TCPAddr).AddrPort()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.handleFaults)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.RunCounts()) })
	mux.HandleFunc("/", s.handleCall)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	close(s.ready)
	go func() {
		select {
		case <-ctx.Done():
		case <-s.killed:
		}
		cancel()
		_ = server.Close()
	}()
	_ = server.Serve(ln)
	<-ctx.Done()
	return nil
}

// Address waits until the service listens and returns its address.
func (s *Service) Address() netip.AddrPort {
	s.init()
	<-s.ready
	return s.address
}

// Kill stops the service abruptly, as a crash would.
func (s *Service) Kill() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.killed:
	default:
		close(s.killed)
	}
}

// RunCounts returns how often each call ran, keyed by its ContentHash.
func (s *Service) RunCounts() map[string]int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for k, n := range s.runCounts {
		counts[k] = n
	}
	return counts
}

// PeakCalls returns the largest number of concurrent calls, and whether it exceeded MaxCalls and crashed the service.
func (s *Service) PeakCalls() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakCalls, s.overloaded
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.init()
	s.mu.Lock()
	previous := s.faults
	s.faults = f
	if previous.Pause && !f.Pause {
		close(s.unpaused)
	}
	if !previous.Pause && f.Pause {
		s.unpaused = make(chan struct{})
	}
	s.mu.Unlock()
	if f.Die {
		s.Kill()
	}
}

// ContentHash returns a hash of a call's method, path and body.
func ContentHash(method, path, body string) string {
	sum := sha256.Sum256([]byte(method + " " + path + "\n" + body))
	return hex.EncodeToString(sum[:8])
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	f, ok := s.beginCall(string(body))
	defer s.endCall()
	if !ok || f.DieBeforeRun {
		s.Kill()
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		w.Header().Set("Bambooferry-Outcome", "not_run")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	response := s.countRun(r, string(body))
	if !s.waitBeforeResponse(r.Context(), f) {
		return
	}
	switch {
	case f.DieAfterRun:
		s.Kill()
		panic(http.ErrAbortHandler)
	case f.LoseResponses > 0:
		panic(http.ErrAbortHandler)
	case f.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		writeJSON(w, http.StatusOK, response)
	}
}

// beginCall counts a call as active and returns the faults that apply to it. It returns false if the call
// crashes the service, by overload or by its body.
func (s *Service) beginCall(body string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	s.activeCalls++
	s.peakCalls = max(s.peakCalls, s.activeCalls)
	if s.MaxCalls > 0 && s.activeCalls > s.MaxCalls {
		s.overloaded = true
		return f, false
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return f, f.CrashOnBody == "" || !strings.Contains(body, f.CrashOnBody)
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
}

// countRun counts a run of the call and returns the response to it.
func (s *Service) countRun(r *http.Request, body string) Response {
	hash := ContentHash(r.Method, r.URL.Path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[hash]++
	return Response{Run: s.runCounts[hash], Path: r.URL.Path, Version: s.Version, ContentHash: hash}
}

// waitBeforeResponse waits for the configured delay and while the service is paused, and reports whether ctx is still active.
func (s *Service) waitBeforeResponse(ctx context.Context, f Faults) bool {
	s.mu.Lock()
	unpaused := s.unpaused
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(f.Delay)):
	case <-ctx.Done():
		return false
	}
	select {
	case <-unpaused:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
