package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
)

// Work is a request for admission.
type Work struct {
	Entry     *catalogue.Entry
	Workspace *catalogue.Workspace
	Request   string
	// Version and Tokens are set for model requests.
	Version string
	Tokens  int
	// CurrentVersion is set for calls, whose version is chosen when they are sent.
	CurrentVersion func() string
	// AlreadyRunning is set for work that a target may already run.
	AlreadyRunning bool
	Now            time.Time
	Deadline       time.Time
}

// Admitter decides whether and when a request may be sent to targets.
type Admitter interface {
	// Admit blocks until the work may start or returns a *Refusal; release must be called once.
	Admit(ctx context.Context, w Work) (release func(), err error)
}

// recordProgress tells the admitter what share of a request its target has completed at a time.
func (s *Server) recordProgress(request string, share float64, at time.Time) {
	if a, ok := s.Admitter.(interface {
		RecordProgress(request string, share float64, at time.Time)
	}); ok {
		a.RecordProgress(request, share, at)
	}
}

// LocalAdmitter enforces the limits of entries and workspaces on this instance only.
type LocalAdmitter struct {
	mu         sync.Mutex
	inProgress map[string]int
}

// Admit admits or refuses the work immediately.
func (a *LocalAdmitter) Admit(_ context.Context, w Work) (func(), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress == nil {
		a.inProgress = map[string]int{}
	}
	e, ws := "entry/"+w.Entry.Name, "workspace/"+w.Workspace.Name
	if a.inProgress[e] >= w.Entry.Limits.InProgress {
		return nil, newRefusal(http.StatusTooManyRequests, "entry_full", "the entry has no free place").retryAfter(time.Second)
	}
	if a.inProgress[ws] >= w.Workspace.InProgress {
		return nil, newRefusal(http.StatusTooManyRequests, "workspace_full", "the workspace has too many requests in progress").retryAfter(time.Second)
	}
	a.inProgress[e]++
	a.inProgress[ws]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.inProgress[e]--
		a.inProgress[ws]--
	}, nil
}
