// Package blackboard shares state between the controllers of one instance.
//
// A controller stores a value under a typed key; others read it or wait for its
// next change. The board owns its shards, each guarded by its own lock. Values
// are replaced as a whole and never modified in place. The package imports no other
// package of the project.
package blackboard
