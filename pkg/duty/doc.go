// Package duty decides which instance carries out a duty of the platform, and under which token.
//
// An Elector takes events, such as the result of a store call, and returns the next action. It owns its state, uses no
// clock and makes no calls; its caller guards it with a lock and executes the actions. All times are on a scale that
// never jumps and counts suspended time. The package imports nothing else of the project.
package duty
