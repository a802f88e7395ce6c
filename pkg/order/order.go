package order

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	// Load tells an engine to load a version, with its model and adapter, in addition to those it holds.
	Load Kind = "load"
	// Unload tells an engine to unload a version once it runs no generation of that version.
	Unload Kind = "unload"
	// Role tells an engine to change its role.
	Role Kind = "role"
)

// Order is the body of POST /orders at an engine.
type Order struct {
	// Fence is the sender's fencing number; an engine that supports it refuses a lower one than it has seen.
	Fence   int64  `json:"fence"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// MaxBytes is the largest size of an order and of the response to it.
const MaxBytes = 4 << 10

// FieldError reports which field of an order violates which rule.
type FieldError struct {
	Field string
	Value string
	Rule  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("order: %s: %q: %s", e.Field, e.Value, e.Rule)
}

// Decode parses one order from JSON, rejects unknown fields and checks the result.
func Decode(data []byte) (Order, error) {
	o := Order{}
	if len(data) > MaxBytes {
		return o, &FieldError{"order", fmt.Sprintf("%d bytes", len(data)), "is too large"}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return Order{}, &FieldError{"order", err.Error(), "must be one JSON object of known fields"}
	}
	if dec.More() {
		return Order{}, &FieldError{"order", "more data", "must be one JSON object"}
	}
	return o, o.check()
}

func (o *Order) check() error {
	switch {
	case o.Fence < 1:
		return &FieldError{"fence", fmt.Sprint(o.Fence), "must be above 0"}
	case o.Model == "":
		return &FieldError{"model", o.Model, "must be given"}
	case o.Kind == Role && o.Role == "":
		return &FieldError{"role", o.Role, "must be given"}
	case (o.Kind == Load || o.Kind == Unload) && o.Version == "":
		return &FieldError{"version", o.Version, "must be given"}
	case o.Kind != Load && o.Kind != Unload && o.Kind != Role:
		return &FieldError{"kind", string(o.Kind), "must be load, unload or role"}
	}
	return nil
}

// Engine is the state of one engine according to its load report, and the role that it is to have.
type Engine struct {
	Name string
	// HasReport is false if the engine sent no recent load report; it then gets no orders.
	HasReport bool
	Versions  []string
	Role      string
	// WantedRole is the role that the engine is to have; empty leaves its role unchanged.
	WantedRole string
	// Slots is the number of requests that the engine can run at once, Running the number that it runs.
	Slots   int
	Running int
}

// DesiredState is the state that the engines of one entry are to reach.
type DesiredState struct {
	Entry string
	// LoadVersion is the version to load, UnloadVersion the one to unload; either may be empty.
	LoadVersion   string
	UnloadVersion string
	Adapter       string
	Deadline      time.Time
	Engines       []Engine
}
