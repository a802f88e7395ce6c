//go:build !race

package admission

// raceDetector is set if the race detector slows the plays down many times; 80 instances are then left out.
const raceDetector = false
