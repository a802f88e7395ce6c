package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request may be run more than once.
type Kind string

const (
	// Repeatable requests may run any number of times.
	Repeatable Kind = "repeatable"
	// Once requests may run at most once.
	Once Kind = "once"
	// Streaming requests are answered with numbered events; they run once unless the route is
	// resumable.
	Streaming Kind = "streaming"
)

// PoolWeight is the relative weight of one pool in a route's traffic.
type PoolWeight struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route matches the requests for one host below one path prefix.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix starts and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Resumable is set when a stream may continue at another target after its last event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout bounds the time until the response is complete.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time to the response, or to a stream's first event, that callers expect.
	Objective time.Duration `json:"objective"`
	// MaxPause is the longest pause between events that callers expect, or 0.
	MaxPause time.Duration `json:"max_pause,omitempty"`
	// Priority ranks the route; 0 is the most important.
	Priority int `json:"priority"`
	// MaxAttempts bounds the number of targets that run one request.
	MaxAttempts int `json:"max_attempts"`
	// Public routes require no key.
	Public      bool         `json:"public,omitempty"`
	PoolWeights []PoolWeight `json:"shares"`
}

// AllowsRerun reports whether another target may run a request that one target may already have
// run.
func (r *Route) AllowsRerun() bool {
	return r.Kind == Repeatable || r.Kind == Streaming && r.Resumable
}

// PickPool returns the pool for a hash, a number that is uniformly distributed over all requests.
func (r *Route) PickPool(hash uint64) string {
	total := 0
	for _, s := range r.PoolWeights {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	n := int(hash % uint64(total))
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
	// MaxConnections bounds the connections from all instances to one target; 0 if not set.
	MaxConnections int `json:"max_connections,omitempty"`
	// Model is set for pools of model engines.
	Model *EngineSpec `json:"model,omitempty"`
}

// EngineSpec describes the capacity of the engines of a pool.
type EngineSpec struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// MemoryTokens bounds the tokens of running requests and cached prompts.
	MemoryTokens int `json:"memory_tokens"`
	// Backups is set when an engine copies a run's memory to another engine while it grows.
	Backups bool `json:"backups,omitempty"`
}

// Workspace is a customer account, identified by its keys.
type Workspace struct {
	Name string `json:"name"`
	// Priority overrides the route's priority, if set.
	Priority *int `json:"priority,omitempty"`
}

// Limits bounds the size and timing of requests.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Table is one version of the operators' configuration.
type Table struct {
	Version int64
	Limits  Limits

	routes       map[string][]*Route
	pools        map[string]*Pool
	workspaces   map[string]*Workspace
	keysRequired bool
}

// NewTable builds a table; keys maps each key to its workspace, and nil means that no route
// requires a key.
func NewTable(version int64, limits Limits, routes []Route, pools []Pool, keys map[string]*Workspace) *Table {
	t := &Table{Version: version, Limits: limits, routes: map[string][]*Route{}, pools: map[string]*Pool{}, workspaces: keys, keysRequired: keys != nil}
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

// Match returns the route with the longest matching prefix for a host and an unmodified request
// path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceForKey returns the workspace that a key belongs to.
func (t *Table) WorkspaceForKey(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// RequiresKey reports whether a route accepts only requests with a known key.
func (t *Table) RequiresKey(r *Route) bool { return t.keysRequired && !r.Public }

// Pool returns the pool with the given name.
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

// PrioritiesDiffer reports whether the routes to a pool differ in priority.
func (t *Table) PrioritiesDiffer(pool string) bool {
	found, first := false, 0
	for _, list := range t.routes {
		for _, r := range list {
			if !slices.ContainsFunc(r.PoolWeights, func(w PoolWeight) bool { return w.Pool == pool && w.Weight > 0 }) {
				continue
			}
			if found && r.Priority != first {
				return true
			}
			found, first = true, r.Priority
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.routes {
		n += len(list)
	}
	return n
}

// HostName returns the host name of a Host header in lower case, without the port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
