package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated of a request.
type Kind string

const (
	// Repeatable requests may run any number of times.
	Repeatable Kind = "repeatable"
	// Once requests may run at most once.
	Once Kind = "once"
	// Streaming requests are answered by numbered events; they run once unless the route is resumable.
	Streaming Kind = "streaming"
)

// PoolWeight is the part of a route's traffic that goes to one pool.
type PoolWeight struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route takes the requests of one host below one path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Resumable tells that a stream may go on at another target after its last event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout is the longest time until the final answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time to the answer, or a stream's first event, that callers expect.
	Objective time.Duration `json:"objective"`
	// MaxPause is the longest pause between events that callers expect, or 0.
	MaxPause time.Duration `json:"max_pause,omitempty"`
	// Priority ranks the route; 0 is the most important.
	Priority int `json:"priority"`
	// MaxAttempts bounds the targets that run one request.
	MaxAttempts int `json:"max_attempts"`
	// Public routes need no key.
	Public      bool         `json:"public,omitempty"`
	PoolWeights []PoolWeight `json:"shares"`
}

// AllowsRerun reports whether a request may be run by another target after one may have run it.
func (r *Route) AllowsRerun() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// PickPool returns the pool for a number that is evenly spread over all requests.
func (r *Route) PickPool(spread uint64) string {
	total := 0
	for _, s := range r.PoolWeights {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(spread % uint64(total))
	for _, s := range r.PoolWeights {
		if n -= max(s.Weight, 0); n < 0 {
			return s.Pool
		}
	}
	return ""
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections bounds the connections that one target takes from all instances, or 0.
	MaxConnections int `json:"max_connections,omitempty"`
	// Model is set for pools of model engines.
	Model *EngineSpec `json:"model,omitempty"`
}

// EngineSpec is what the engines of a pool offer.
type EngineSpec struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// MemoryTokens bounds the tokens of running requests and cached prompts.
	MemoryTokens int `json:"memory_tokens"`
	// Backups tells that an engine copies a run's memory to another one while it grows.
	Backups bool `json:"backups,omitempty"`
}

// Workspace is a customer account, found by its keys.
type Workspace struct {
	Name string `json:"name"`
	// Priority goes before the route's, if set.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Table is one version of what operators want.
type Table struct {
	Version int64
	Limits  Limits

	routes     map[string][]*Route
	pools      map[string]*Pool
	workspaces map[string]*Workspace
	closed     bool
}

// NewTable returns a table; keys maps each key to its workspace, and nil means that no route needs a key.
func NewTable(version int64, limits Limits, routes []Route, pools []Pool, keys map[string]*Workspace) *Table {
	t := &Table{Version: version, Limits: limits, routes: map[string][]*Route{}, pools: map[string]*Pool{}, workspaces: keys, closed: keys != nil}
	for _, r := range routes {
		host := HostName(r.Host)
		t.routes[host] = append(t.routes[host], &r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range pools {
		t.pools[p.Name] = &p
	}
	return t
}

// Match returns the route with the longest prefix for a host and a path as it was sent.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceForKey returns the workspace that holds a key.
func (t *Table) WorkspaceForKey(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// RequiresKey reports whether a route takes only requests with a known key.
func (t *Table) RequiresKey(r *Route) bool { return t.closed && !r.Public }

// Pool returns a pool by name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// PoolNames returns the names of all pools, sorted.
func (t *Table) PoolNames() []string {
	names := make([]string, 0, len(t.pools))
	for n := range t.pools {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

// HostName returns a Host header's name in lower case, without a port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
