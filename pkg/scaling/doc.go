// Package scaling decides how many targets a pool should have in each data centre, and which orders say so.
//
// A Plan owns what is known of one pool: the demand of the last seconds, and what was ordered and accepted. Its caller
// guards it with a lock, makes the calls and records their results. All times are on a scale that never jumps and counts
// suspended time. The package uses no clock and imports nothing else of the project.
package scaling
