package duty

import "fmt"

// NotHeldError reports that this instance does not hold the duty, or no longer under the given token.
type NotHeldError struct {
	Duty  string
	Token int64
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("duty %s is not held under token %d", e.Duty, e.Token)
}

// RefusedError reports that the platform refused a token, because it has seen a higher one.
type RefusedError struct{ Token int64 }

func (e *RefusedError) Error() string { return fmt.Sprintf("the platform refused token %d", e.Token) }

// RateError reports that the platform refused a call, which was not executed, for the rate of calls.
type RateError struct{}

func (e *RateError) Error() string { return "the platform refused a call for the rate of calls" }

// StatusError reports a response that does not state whether the call was executed.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform responded with status %d", e.Status)
}
