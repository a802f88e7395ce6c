package engine

// Sampling holds the parameters, besides the seed, that affect the output of a generation.
//
// A nil field leaves the value to the engine.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	// Stop lists texts at which the generation ends.
	Stop []string `json:"stop,omitempty"`
}
