//go:build race

package work_test

// raceDetector reports whether the race detector is on.
const raceDetector = true
