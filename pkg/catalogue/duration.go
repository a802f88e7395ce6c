package catalogue

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "30s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return &FieldError{Value: string(data), Rule: "must be a duration in quotes, such as 30s"}
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return &FieldError{Value: s, Rule: "must be a duration, such as 30s"}
	}
	*d = Duration(v)
	return nil
}
