package server

import (
	"slices"

	"bambooferry.example/bambooferry/pkg/instance"
)

// branches is the number of instances that report to one collector above fewMembers instances.
//
// A collector's bytes grow with its calls a second, so with branches, and 5 carry 155
// instances on three levels and 780 on four. A level costs the time `lead`, not a period.
const branches = 5

// ReportDestinations returns the members that an instance reports to, and whether they are the candidates.
//
// Above fewMembers instances the members form a tree by their rank: the candidates
// first, then those that report to them, then those that report to the ones before.
// Members whose lists differ for a while may report to one that does not expect it,
// which passes the evidence on like any other.
func ReportDestinations(live []instance.Member, self string) (list []instance.Member, final bool) {
	if len(live) <= fewMembers {
		return instance.RankByRendezvousHash(live, rankKey, candidates), true
	}
	ranked := instance.RankByRendezvousHash(live, rankKey, len(live))
	at := slices.IndexFunc(ranked, func(m instance.Member) bool { return m.ID == self })
	if at < candidates+branches {
		return ranked[:candidates], true
	}
	parent := candidates + (at-candidates-branches)/branches
	return ranked[parent : parent+1], false
}
