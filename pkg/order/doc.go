// Package order plans the orders that are sent to engines: to load or unload a version, or to change role.
//
// A Planner keeps the attempts of one sender; its caller serialises the calls. The state of
// an engine is always read from its load report and never assumed from the orders sent. The
// package imports nothing of the project.
package order
