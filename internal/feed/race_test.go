//go:build race

package feed

// largestFleet is the number of instances that one process plays in time; the race detector takes some ten times as long.
const largestFleet = 60
