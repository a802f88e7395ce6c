package server

import (
	"slices"

	"bambooferry.example/bambooferry/pkg/instance"
)

// treeFanOut is the number of instances that report to one collector above maxDirectMembers instances.
//
// A collector's traffic grows with its calls a second and so with treeFanOut; a fan-out of 5 serves 155
// instances on three levels and 780 on four. Each level adds a delay of reportLead, not of an interval.
const treeFanOut = 5

// ReportDestinations returns the members that an instance reports to, and whether they are the candidates.
//
// Above maxDirectMembers instances the members form a tree by their rank: the candidates
// first, then those that report to them, then those that report to the level before.
// While the membership lists of instances differ, one may report to a member that does not
// expect it; that member relays the evidence as usual.
func ReportDestinations(live []instance.Member, self string) (list []instance.Member, final bool) {
	if len(live) <= maxDirectMembers {
		return instance.RankByRendezvousHash(live, candidateRankKey, candidateCount), true
	}
	ranked := instance.RankByRendezvousHash(live, candidateRankKey, len(live))
	at := slices.IndexFunc(ranked, func(m instance.Member) bool { return m.ID == self })
	if at < candidateCount+treeFanOut {
		return ranked[:candidateCount], true
	}
	parent := candidateCount + (at-candidateCount-treeFanOut)/treeFanOut
	return ranked[parent : parent+1], false
}
