package version

// Counts has the numbers of results of one version on one route.
type Counts struct {
	// Requests counts requests that ended, Failed those that failed.
	Requests uint32 `json:"requests"`
	Failed   uint32 `json:"failed"`
	// FirstTokens counts times to the first token (or answer), SlowFirstTokens those above the reference.
	FirstTokens     uint32 `json:"firsts"`
	SlowFirstTokens uint32 `json:"firsts_slow"`
	// TokenIntervals counts mean times between tokens, SlowTokenIntervals those above the reference.
	TokenIntervals     uint32 `json:"paces"`
	SlowTokenIntervals uint32 `json:"paces_slow"`
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.Failed += other.Failed
	c.FirstTokens += other.FirstTokens
	c.SlowFirstTokens += other.SlowFirstTokens
	c.TokenIntervals += other.TokenIntervals
	c.SlowTokenIntervals += other.SlowTokenIntervals
}

func (c Counts) valid() bool {
	return c.Failed <= c.Requests && c.SlowFirstTokens <= c.FirstTokens && c.SlowTokenIntervals <= c.TokenIntervals
}

// results returns the number of results that show a kind of defect or its absence, and the bad ones among them.
func (c Counts) results(k DefectKind) (total, bad int) {
	switch k {
	case Failing:
		return int(c.Requests), int(c.Failed)
	case SlowFirstToken:
		return int(c.FirstTokens), int(c.SlowFirstTokens)
	default:
		return int(c.TokenIntervals), int(c.SlowTokenIntervals)
	}
}

// DefectKind is a kind of defect that makes a version bad.
type DefectKind int

// The kinds of defects that are tested for.
const (
	Failing DefectKind = iota
	SlowFirstToken
	SlowTokenInterval
	defectKinds
)

func (k DefectKind) String() string { return [...]string{"failing", "slow_first", "slow_pace"}[k] }

// RouteCounts has the counts of both versions on one route over the same time.
type RouteCounts struct {
	// Route is the API path (or path prefix) with the data centre.
	Route string
	Old   Counts
	New   Counts
}

// Report has the counts for one change since the previous report.
type Report struct {
	ChangeID uint64
	Routes   []RouteCounts
}

// MaxRoutes is the largest number of routes that are counted separately; further ones count as OtherRoute.
const MaxRoutes = 16

// OtherRoute is the route under which routes beyond MaxRoutes are counted.
const OtherRoute = "other"

// Merge adds the counts of other to r.
func (r *Report) Merge(other Report) {
	for _, route := range other.Routes {
		r.routeCounts(route.Route).add(route)
	}
}

// Since returns the counts of a cumulative report that were added after former, an earlier state of the same counts.
func (r *Report) Since(former *Report) Report {
	diff := Report{ChangeID: r.ChangeID}
	for _, route := range r.Routes {
		for i := range former.Routes {
			if former.Routes[i].Route == route.Route {
				route.subtract(&former.Routes[i])
			}
		}
		if route.Old != (Counts{}) || route.New != (Counts{}) {
			diff.Routes = append(diff.Routes, route)
		}
	}
	return diff
}

// subtract takes away counts of which r is a later state; a counter that has not grown becomes 0.
func (r *RouteCounts) subtract(former *RouteCounts) {
	counters, formerCounters := r.counters(), former.counters()
	for i, n := range counters {
		*n -= min(*n, *formerCounters[i])
	}
}

func (r *RouteCounts) add(other RouteCounts) {
	r.Old.add(other.Old)
	r.New.add(other.New)
}

// routeCounts returns the counts of a route, which it adds if there is room, and otherwise those of OtherRoute.
func (r *Report) routeCounts(route string) *RouteCounts {
	if len(route) > maxRouteBytes {
		route = route[:maxRouteBytes]
	}
	for i := range r.Routes {
		if r.Routes[i].Route == route {
			return &r.Routes[i]
		}
	}
	if len(r.Routes) >= MaxRoutes-1 && route != OtherRoute {
		return r.routeCounts(OtherRoute)
	}
	r.Routes = append(r.Routes, RouteCounts{Route: route})
	return &r.Routes[len(r.Routes)-1]
}
