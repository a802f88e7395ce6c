//go:build !race

package feed

// largestFleet is the number of instances that one process plays in time.
const largestFleet = 420
