package order

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// Kind tells what an order asks for.
type Kind string

// The kinds of orders.
const (
	// Load asks an engine to load a version with its model and adapter beside what it holds.
	Load Kind = "load"
	// Unload asks an engine to drop a version once no generation of it runs there.
	Unload Kind = "unload"
	// Role asks an engine to change its role.
	Role Kind = "role"
)

// Order is the body of POST /orders at an engine.
type Order struct {
	// Fence is the sender's fencing number; an engine that honours it refuses a lower one than it has seen.
	Fence   int64  `json:"fence"`
	Kind    Kind   `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// MaxBytes bounds an order and the answer to it.
const MaxBytes = 4 << 10

// FieldError tells which field of an order breaks which rule.
type FieldError struct {
	Field string
	Value string
	Rule  string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("order: %s: %q: %s", e.Field, e.Value, e.Rule)
}

// Decode reads one order strictly and checks it.
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

// Engine is one engine as its load report tells.
type Engine struct {
	Name string
	// HasReport is false when the engine gave no report of late; it then gets no order.
	HasReport bool
	Versions  []string
	Role      string
	// WantedRole is the role that the engine is to have; empty leaves it.
	WantedRole string
	Slots      int
	Running    int
}

// DesiredState is what the engines of one entry are to hold.
type DesiredState struct {
	Entry string
	// Load is the version to load, Unload the one to drop; either may be empty.
	Load     string
	Unload   string
	Adapter  string
	Deadline time.Time
	Engines  []Engine
}
