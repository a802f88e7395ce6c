package version

import "time"

// Split divides the requests for a pool between the targets of one version and all others.
type Split struct {
	// Change identifies the change of version; 0 means that requests are not divided.
	Change  uint64
	Version string
	// Share is the fraction of requests that goes to Version.
	Share float64
	// Until is when the share ends unless it is confirmed; the zero time means never.
	Until time.Time
	// Limited is set while Version is not proven; Limit then bounds the requests of this instance that it gets.
	Limited bool
	Limit   ExposureLimit
	// Barred lists further versions that get no requests: those of former changes that were rolled back.
	Barred []string
}

// ShareAt returns the share in force at a time.
func (s *Split) ShareAt(now time.Time) float64 {
	if s.Change == 0 || !s.Until.IsZero() && !now.Before(s.Until) {
		return 0
	}
	return s.Share
}

// UsesNew reports whether an attempt of a request goes to the new version. Only a first attempt does while
// the version does not get all requests.
func (s *Split) UsesNew(now time.Time, a *Allowance, first bool) bool {
	share := s.ShareAt(now)
	if share <= 0 || share < 1 && !first {
		return false
	}
	return !s.Limited || a.Allows(share)
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

// ExposureLimit bounds the requests that an unproven version gets by the end of its change's interval: Share of all
// requests and Slack beyond that.
type ExposureLimit struct {
	Share float64
	Slack float64
}

const (
	// plannedExposure is the part of an ExposureLimit that the shares of a change are planned for, and
	// enforcedExposure the part at which a version gets no more. Requests may be counted that never arrive.
	plannedExposure  = 0.85
	enforcedExposure = 0.95
	// maxTrialShare is the largest share of an unproven version; the test needs results of both.
	maxTrialShare = 0.5
	// finalExposure is the part of the planned exposure that is kept for the time in which the version gets all
	// requests before its change has succeeded.
	finalExposure = 0.5
)

// Allowed returns the number of requests that a version may get if its pool gets total requests.
func (l ExposureLimit) Allowed(total float64) float64 { return l.Share*total + l.Slack }

// FinalTime returns how long the version may get all requests at the end of an interval in which a number of requests
// is expected.
func (l ExposureLimit) FinalTime(expected float64, interval time.Duration) time.Duration {
	if expected <= 0 {
		return interval
	}
	return time.Duration(min(finalExposure*plannedExposure*l.Allowed(expected)/expected, 1) * float64(interval))
}

// TrialShare returns the share that an unproven version may have for the rest of its trial.
//
// expected is the number of requests by the end of the interval, remaining that by the end of the trial, and exposed the
// number that the version has got. finalRequests is the number of those in the final time.
func (l ExposureLimit) TrialShare(expected, remaining, finalRequests, exposed float64) float64 {
	budget := plannedExposure*l.Allowed(expected) - finalRequests - exposed
	if remaining <= 0 {
		return maxTrialShare
	}
	return min(max(budget/remaining, 0), maxTrialShare)
}

// Exhausted reports whether a version that got some of all requests must get no more for now.
func (l ExposureLimit) Exhausted(exposed, total float64) bool {
	return exposed >= enforcedExposure*l.Allowed(total)
}

// Part returns the limit of one of n instances; rank is its place in an order on which the instances agree, from 0.
//
// The parts of all instances add up to the limit, with the requests rounded down at some and up at others. An instance
// without slack gets only its share of its own requests.
func (l ExposureLimit) Part(n, rank int, withSlack bool) ExposureLimit {
	part := ExposureLimit{Share: enforcedExposure * l.Share}
	if withSlack && n > 0 && rank >= 0 {
		part.Slack = enforcedExposure*l.Slack/float64(n) + (float64(rank%n)+0.5)/float64(n)
	}
	return part
}
