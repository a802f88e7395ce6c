// Package operator applies operators' edits of the catalogue to the key-value service.
//
// It owns no state. Each edit is one compare-and-swap, so that concurrent operators
// never overwrite each other's edits unnoticed.
package operator
