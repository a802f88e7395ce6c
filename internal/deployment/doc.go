// Package deployment runs a whole deployment in one process: platform, targets and instances.
//
// The demo, the measurements and tests use it. It runs the same servers and
// stand-ins that otherwise run as separate processes, over loopback connections.
package deployment
