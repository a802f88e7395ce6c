// Package rollout carries out operators' orders to move the traffic of a pool to another version.
//
// Each instance has a Controller, which owns the orders, the records of the changes and the evidence, guarded
// by its lock. All of them divide their requests by the records, each within its own part of the exposure limit, and
// report what they observe to the candidates: the instances that read the store for others, and the present decider. A
// share ends unless a candidate confirms the reports. One instance at a time decides: it holds a lease, and all its
// writes depend on the key that is bound to the lease. The decisions are those of pkg/version. An order passes
// through controller.go (orders, records, division of requests), evidence.go and report.go (results and their messages),
// run.go and plan.go (the steps), and decider.go (lease and writes). The package imports internal/feed, pkg/version and pkg/timeline.
package rollout
