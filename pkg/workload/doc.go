// Package workload predicts how much work a request needs and how fast each target works.
//
// An Estimator learns the output of streams and the time of calls. Paces learns how slow each target of a pool is. A Backlog
// tracks what each target still has to do for all instances, and a Predictor tells what a request would meet there. Their
// owner guards them with a lock; the package has no lock, clock, socket, goroutine or random source. It imports only
// pkg/engine and pkg/engine/policy from this module.
//
// Output units are tokens or events, as the caller counts: RecordOutput, OutputTokens, OutputHint and Work.Write must all
// be in the same unit. A caller that sees only events converts with EventSize.
package workload
