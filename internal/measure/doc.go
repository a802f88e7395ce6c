// Package measure measures what users care about, and compares each result with a simple baseline.
//
// It runs the real servers with stand-ins over loopback connections, and derives
// its random choices from seeds. Each section starts and stops its own
// deployments; the package keeps no state.
package measure
