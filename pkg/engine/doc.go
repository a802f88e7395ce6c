// Package engine defines the protocol between instances and model engines, and tracks what an
// instance knows of the engines.
//
// An engine accepts a Request and answers with one Token per line. It keeps a record of each
// generation while it runs and for a short time afterwards, so that a new connection can continue
// from any position. The package imports only its sub-package policy from this module.
package engine
