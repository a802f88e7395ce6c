// Package steady reads a clock that never jumps and that counts the time in which the process or the machine was
// suspended.
//
// It keeps no state and imports nothing else of the project.
package steady
