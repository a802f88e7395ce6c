//go:build race

package booking

// raceDetector reports whether the race detector is on, with which runs take about 13 times as long.
const raceDetector = true
