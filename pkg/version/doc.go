// Package version decides how traffic moves to a new version of an entry, and whether the change is rolled back.
//
// A Change holds the record and the evidence of one change; its caller serialises the
// calls. A Counter holds what one instance has observed, guarded by its own lock. The
// package imports nothing of the project but pkg/catalogue.
package version
