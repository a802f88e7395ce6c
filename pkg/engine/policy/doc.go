// Package policy defines and registers the policies that choose one of an entry's targets.
//
// A Policy picks a candidate; the sub-packages register policies by name. A policy owns its state
// between picks; its caller guards it.
package policy
