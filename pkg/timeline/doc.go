// Package timeline records what an instance decided and why, as JSON lines with a causal clock.
//
// A Writer owns its sequence number, which its own lock guards; a Clock has its own lock. Events
// never contain prompts, answers or keys. The package imports no other package of the project.
package timeline
