package version

// Counts is what requests of one version did on one route.
type Counts struct {
	// Requests counts requests that ended, Failed those that failed.
	Requests uint32 `json:"requests"`
	Failed   uint32 `json:"failed"`
	// FirstTokens counts times to the first token (or answer), FirstsSlow those above the reference.
	FirstTokens     uint32 `json:"firsts"`
	SlowFirstTokens uint32 `json:"firsts_slow"`
	// TokenIntervals counts mean times between tokens, PacesSlow those above the reference.
	TokenIntervals     uint32 `json:"paces"`
	SlowTokenIntervals uint32 `json:"paces_slow"`
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Failed += o.Failed
	c.FirstTokens += o.FirstTokens
	c.SlowFirstTokens += o.SlowFirstTokens
	c.TokenIntervals += o.TokenIntervals
	c.SlowTokenIntervals += o.SlowTokenIntervals
}

func (c Counts) valid() bool {
	return c.Failed <= c.Requests && c.SlowFirstTokens <= c.FirstTokens && c.SlowTokenIntervals <= c.TokenIntervals
}

// of returns the number of results of a kind and the bad ones among them.
func (c Counts) of(k DefectKind) (all, bad int) {
	switch k {
	case Failing:
		return int(c.Requests), int(c.Failed)
	case SlowFirstToken:
		return int(c.FirstTokens), int(c.SlowFirstTokens)
	default:
		return int(c.TokenIntervals), int(c.SlowTokenIntervals)
	}
}

// DefectKind is a way in which a version can be bad.
type DefectKind int

// The kinds of badness that are tested for.
const (
	Failing DefectKind = iota
	SlowFirstToken
	SlowTokenInterval
	kinds
)

func (k DefectKind) String() string { return [...]string{"failing", "slow_first", "slow_pace"}[k] }

// RouteCounts is what both versions did on one route in the same time.
type RouteCounts struct {
	// Route is the API path (or path prefix) and the data centre.
	Route string
	Old   Counts
	New   Counts
}

// Report is what was seen of one change since the report before.
type Report struct {
	ChangeID uint64
	Routes   []RouteCounts
}

// MaxRoutes bounds the routes that are told apart; further ones count as OtherRoute.
const MaxRoutes = 16

// OtherRoute stands for the routes above MaxRoutes.
const OtherRoute = "other"

// Merge adds the rows of o to r.
func (r *Report) Merge(o Report) {
	for _, row := range o.Routes {
		r.row(row.Route).add(row)
	}
}

func (r *RouteCounts) add(o RouteCounts) {
	r.Old.add(o.Old)
	r.New.add(o.New)
}

// row returns the row of a route, which it adds while there is room.
func (r *Report) row(route string) *RouteCounts {
	if len(route) > maxRouteBytes {
		route = route[:maxRouteBytes]
	}
	for i := range r.Routes {
		if r.Routes[i].Route == route {
			return &r.Routes[i]
		}
	}
	if len(r.Routes) >= MaxRoutes-1 && route != OtherRoute {
		return r.row(OtherRoute)
	}
	r.Routes = append(r.Routes, RouteCounts{Route: route})
	return &r.Routes[len(r.Routes)-1]
}
