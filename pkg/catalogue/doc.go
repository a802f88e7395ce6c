// Package catalogue defines the operators' configuration: entries, targets, versions and workspaces.
//
// The document is JSON with snake case names, decoded strictly and checked as a
// whole. The package holds no state and imports no other package of the project.
package catalogue
