// Package route defines which requests an entry instance takes and which targets may answer them.
//
// A Table is one version of the operators' routes, pools and workspaces and is never changed.
// A Roster is what one instance knows of the targets; its owner guards it. The package holds no
// lock, clock or socket and imports nothing of the project.
package route
