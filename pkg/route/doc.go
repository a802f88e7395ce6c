// Package route defines which requests an instance accepts for an entry and which targets may serve
// them.
//
// A Table is one immutable version of the operators' routes, pools and workspaces. A TargetSet is
// what one instance knows of the targets; its owner guards it. The package has no lock, clock or
// socket and imports no other package of this module.
package route
