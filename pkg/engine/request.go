package engine

import (
	"context"
	"fmt"
	"time"
)

// Request asks an engine to run one attempt of a generation.
type Request struct {
	Generation string `json:"generation"`
	Attempt    int    `json:"attempt"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Adapter    string `json:"adapter,omitempty"`
	Seed       uint64 `json:"seed"`
	// Sampling is part of the request's identity, like the seed.
	Sampling *Sampling `json:"sampling,omitempty"`
	Prompt   string    `json:"prompt"`
	// Delivered is the text of the tokens before From; the engine continues after it.
	Delivered string `json:"delivered,omitempty"`
	// From is the position of the first requested token.
	From      uint64 `json:"from"`
	MaxTokens int    `json:"tokens"`
	Priority  int    `json:"priority"`
}

// MaxTokenBytes bounds the text of one token; JSON may encode each of its bytes as six.
const MaxTokenBytes = 1024

// MaxLineBytes bounds the length of one line of an engine's response.
const MaxLineBytes = 8 << 10

// Token is one line of an engine's response: a token, or the end of the generation.
type Token struct {
	Attempt  int    `json:"attempt"`
	Position uint64 `json:"position"`
	Text     string `json:"text,omitempty"`
	// End is the reason why the generation ended; it is empty while the generation continues.
	End string `json:"end,omitempty"`
}

// Check returns an error if the line cannot be part of a response.
func (t *Token) Check() error {
	if t.Attempt < 1 || len(t.Text) > MaxTokenBytes {
		return &LineError{Attempt: t.Attempt, Bytes: len(t.Text)}
	}
	return nil
}

// LineError reports that an engine sent an invalid line.
type LineError struct {
	Attempt int
	Bytes   int
}

func (e *LineError) Error() string {
	return fmt.Sprintf("engine sent an invalid line: attempt %d, %d bytes", e.Attempt, e.Bytes)
}

// Load is an engine's report of its own load.
type Load struct {
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Slots    int       `json:"slots"`
	Versions []string  `json:"versions"`
	Role     string    `json:"role,omitempty"`
}

// CacheEvent reports that an engine's prefix cache stored or dropped a block.
type CacheEvent struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Block    uint64    `json:"block"`
	Dropped  bool      `json:"dropped,omitempty"`
}

// TokenReader reads the lines of one attempt in the order in which the engine sent them.
type TokenReader interface {
	// Next blocks until the next line arrives; io.EOF without an end line means a lost connection.
	Next() (Token, error)
	// Close returns the connection for reuse or closes it.
	Close() error
}

// Opener opens one attempt at an engine.
type Opener interface {
	Open(ctx context.Context, r Request) (TokenReader, error)
}

// OpenerFunc adapts a function to the Opener interface.
type OpenerFunc func(ctx context.Context, r Request) (TokenReader, error)

// Open calls the function.
func (f OpenerFunc) Open(ctx context.Context, r Request) (TokenReader, error) { return f(ctx, r) }
