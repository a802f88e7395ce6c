package version

// Split divides the requests for a pool between the targets of one version and all others.
type Split struct {
	// Change identifies the change of version; 0 means that requests are not divided.
	Change  uint64
	Version string
	// Share is the fraction of requests that goes to Version.
	Share float64
	// Barred lists further versions that get no requests: those of former changes that were rolled back.
	Barred []string
}

// UsesNew reports whether an attempt of a request goes to the new version. Only a first attempt does while
// the version is not proven.
func (s *Split) UsesNew(request string, first bool) bool {
	return s.Change != 0 && (s.Share >= 1 || first && RoutesToNew(s.Change, s.Share, request))
}

// Allows reports whether an attempt may use a target of a version.
func (s *Split) Allows(version string, usesNew bool) bool {
	if s.Change == 0 {
		return true
	}
	if version == s.Version {
		return usesNew
	}
	for _, v := range s.Barred {
		if v == version {
			return false
		}
	}
	return !usesNew
}

// ExposureLimit bounds the requests that an unproven version gets by the deadline of its change: Share of all
// requests and Slack beyond that.
type ExposureLimit struct {
	Share float64
	Slack float64
}

const (
	// exposureMargin is the part of an ExposureLimit that is planned for; requests in progress are not
	// counted yet.
	exposureMargin = 0.8
	// maxTrialShare is the largest share of an unproven version; the test needs results of both.
	maxTrialShare = 0.5
)

// LargestShare returns the share that an unproven version may have if the given number of requests is
// expected.
func (l ExposureLimit) LargestShare(expected float64) float64 {
	if expected <= 0 {
		return maxTrialShare
	}
	return min(exposureMargin*(l.Share+l.Slack/expected), maxTrialShare)
}

// Exhausted reports whether a version that got some of all requests must get no more for now.
func (l ExposureLimit) Exhausted(exposed, total float64) bool {
	return exposed >= exposureMargin*(l.Share*total+l.Slack)
}
