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

// Faults tells in which ways the service fails.
type Faults struct {
	// Die ends the service.
	Die bool `json:"die"`
	// Pause holds all calls until it is cleared.
	Pause bool `json:"pause"`
	// Refuse answers calls with status 503 and outcome not_run.
	Refuse bool `json:"refuse"`
	// LoseResponses runs that many calls and closes their connections without a response.
	LoseResponses int `json:"lose_answers"`
	// DieBeforeRun and DieAfterRun end the service at the next call, before or after running it.
	DieBeforeRun bool `json:"die_before"`
	DieAfterRun  bool `json:"die_after"`
	// CrashOnBody is the text whose presence in a request body crashes the service.
	CrashOnBody string `json:"crash_on"`
	// Delay holds back each answer.
	Delay catalogue.Duration `json:"delay"`
	// Fail answers with status 500 after the call ran.
	Fail bool `json:"fail"`
}

// Service is one stand-in service; set its exported fields before Run.
type Service struct {
	Listen  netip.AddrPort
	Version string
	// MaxCalls is the number of concurrent calls above which the service crashes.
	MaxCalls int

	mu       sync.Mutex
	faults   Faults
	runs     map[string]int
	inside   int
	peak     int
	fellOver bool
	gate     chan struct{}
	address  netip.AddrPort
	killed   chan struct{}
	ready    chan struct{}
	once     sync.Once
}

// Response is the body of the response to a call.
type Response struct {
	// Run counts how often this call's content ran here.
	Run     int    `json:"run"`
	Path    string `json:"path"`
	Version string `json:"version"`
	// ContentHash identifies the call's content.
	ContentHash string `json:"receipt"`
}

func (s *Service) init() {
	s.once.Do(func() {
		s.runs = map[string]int{}
		s.killed, s.ready = make(chan struct{}), make(chan struct{})
		s.gate = make(chan struct{})
		close(s.gate)
	})
}

// Run serves until the context ends or the service is killed.
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
	mux.HandleFunc("POST /fault", s.fault)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.RunCounts()) })
	mux.HandleFunc("/", s.call)
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

// Address returns the address that the service listens on, once it does.
func (s *Service) Address() netip.AddrPort {
	s.init()
	<-s.ready
	return s.address
}

// Kill ends the service as a crash would.
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
	m := map[string]int{}
	for k, n := range s.runs {
		m[k] = n
	}
	return m
}

// PeakCalls returns the largest number of concurrent calls, and whether it exceeded MaxCalls and crashed the service.
func (s *Service) PeakCalls() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.fellOver
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.init()
	s.mu.Lock()
	was := s.faults
	s.faults = f
	if was.Pause && !f.Pause {
		close(s.gate)
	}
	if !was.Pause && f.Pause {
		s.gate = make(chan struct{})
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

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
		return
	}
	f, ok := s.enter(string(body))
	defer s.leave()
	if !ok || f.DieBeforeRun {
		s.Kill()
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		w.Header().Set("Bambooferry-Outcome", "not_run")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	a := s.run(r, string(body))
	if !s.hold(r.Context(), f) {
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
		reply(w, http.StatusOK, a)
	}
}

func (s *Service) enter(body string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	s.inside++
	s.peak = max(s.peak, s.inside)
	if s.MaxCalls > 0 && s.inside > s.MaxCalls {
		s.fellOver = true
		return f, false
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return f, f.CrashOnBody == "" || !strings.Contains(body, f.CrashOnBody)
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
}

func (s *Service) run(r *http.Request, body string) Response {
	receipt := ContentHash(r.Method, r.URL.Path, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[receipt]++
	return Response{Run: s.runs[receipt], Path: r.URL.Path, Version: s.Version, ContentHash: receipt}
}

// hold waits for the delay and while the service is paused.
func (s *Service) hold(ctx context.Context, f Faults) bool {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(f.Delay)):
	case <-ctx.Done():
		return false
	}
	select {
	case <-gate:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) fault(w http.ResponseWriter, r *http.Request) {
	f := Faults{}
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
