package server

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strings"

	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// completion is the body of a completion request in the widely used JSON format.
//
// Fields that are not listed here do not affect the answer and are ignored.
type completion struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name for MaxTokens.
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Seed                *uint64        `json:"seed"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`

	Temperature      *float64   `json:"temperature"`
	TopP             *float64   `json:"top_p"`
	PresencePenalty  *float64   `json:"presence_penalty"`
	FrequencyPenalty *float64   `json:"frequency_penalty"`
	Stop             stringList `json:"stop"`

	// The following fields are refused unless they request the default behaviour.
	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Suffix         *string         `json:"suffix"`
	Logprobs       any             `json:"logprobs"`
	LogitBias      map[string]any  `json:"logit_bias"`
	Tools          []any           `json:"tools"`
	Functions      []any           `json:"functions"`
	ResponseFormat *responseFormat `json:"response_format"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type responseFormat struct {
	Type string `json:"type"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// stringList is a list of strings that may be given as a single string.
type stringList []string

// UnmarshalJSON accepts a string, a list of strings or null.
func (t *stringList) UnmarshalJSON(data []byte) error {
	var one *string
	if json.Unmarshal(data, &one) == nil {
		if *t = nil; one != nil {
			*t = stringList{*one}
		}
		return nil
	}
	return json.Unmarshal(data, (*[]string)(t))
}

// content is the text of a message, which may be given in parts.
type content string

// UnmarshalJSON accepts a string, null or a list of text parts.
func (c *content) UnmarshalJSON(data []byte) error {
	var one *string
	if json.Unmarshal(data, &one) == nil {
		if *c = ""; one != nil {
			*c = content(*one)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return newRefusal(http.StatusBadRequest, "unsupported_content", "messages may hold text only")
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// maxStops bounds the stop texts of a request, and maxStopBytes the length of each.
const (
	maxStops     = 4
	maxStopBytes = 256
)

// unsupportedParameter returns the name of a parameter that requests an unsupported feature, if any.
func (c *completion) unsupportedParameter() string {
	for _, p := range []struct {
		name string
		set  bool
	}{
		{"n", c.N != nil && *c.N != 1},
		{"best_of", c.BestOf != nil && *c.BestOf != 1},
		{"echo", c.Echo},
		{"suffix", c.Suffix != nil && *c.Suffix != ""},
		{"logprobs", c.Logprobs != nil && c.Logprobs != false},
		{"logit_bias", len(c.LogitBias) > 0},
		{"tools", len(c.Tools) > 0},
		{"functions", len(c.Functions) > 0},
		{"response_format", c.ResponseFormat != nil && c.ResponseFormat.Type != "text"},
	} {
		if p.set {
			return p.name
		}
	}
	return ""
}

// invalidParameter returns the name of a parameter outside its range, if any.
func (c *completion) invalidParameter() string {
	outside := func(v *float64, low, high float64) bool { return v != nil && !(*v >= low && *v <= high) }
	stops := len(c.Stop) > maxStops
	for _, s := range c.Stop {
		stops = stops || s == "" || len(s) > maxStopBytes
	}
	for _, p := range []struct {
		name  string
		wrong bool
	}{
		{"temperature", outside(c.Temperature, 0, 2)},
		{"top_p", outside(c.TopP, 0, 1)},
		{"presence_penalty", outside(c.PresencePenalty, -2, 2)},
		{"frequency_penalty", outside(c.FrequencyPenalty, -2, 2)},
		{"stop", stops},
		{"stream_options", c.StreamOptions != nil && !c.Stream},
	} {
		if p.wrong {
			return p.name
		}
	}
	return ""
}

// sampling returns the sampling parameters for the engine, or nil if none were given.
func (c *completion) sampling() *engine.Sampling {
	s := &engine.Sampling{
		Temperature: c.Temperature, TopP: c.TopP,
		PresencePenalty: c.PresencePenalty, FrequencyPenalty: c.FrequencyPenalty, Stop: c.Stop,
	}
	if s.Temperature == nil && s.TopP == nil && s.PresencePenalty == nil && s.FrequencyPenalty == nil && len(s.Stop) == 0 {
		return nil
	}
	return s
}

// requestedTokens returns the requested number of tokens, or 0 for the default.
func (c *completion) requestedTokens() int {
	if c.MaxCompletionTokens != 0 {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

func (c *completion) buildPrompt(chat bool) string {
	if !chat {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + string(m.Content) + "\n")
	}
	b.WriteString("assistant: ")
	return b.String()
}

// contentDigest returns a digest of everything in the request that affects its answer; a cursor is valid only for the same digest.
func (c *completion) contentDigest(prompt string, chat bool) generation.Digest {
	data, _ := json.Marshal(struct {
		Model, Prompt string
		Chat          bool
		Tokens        int
		Seed          *uint64
		Sampling      *engine.Sampling
	}{c.Model, prompt, chat, c.requestedTokens(), c.Seed, c.sampling()})
	sum := sha256.Sum256(data)
	return generation.Digest(sum[:generation.DigestBytes])
}
