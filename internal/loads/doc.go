// Package loads tells instances what the others have in progress at each target.
//
// An Exchange owns its socket and sends datagrams, which may be lost: each one replaces what
// was known of its sender, and what is not renewed expires at the receiver. The package imports
// pkg/engine only.
package loads
