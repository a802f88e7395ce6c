package server

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
)

const defaultTokens = 256

// handleCompletion runs one generation and writes its answer to the caller.
func (s *Server) handleCompletion(w http.ResponseWriter, r *request) error {
	st, whole, err := s.readRequest(w, r)
	if err != nil {
		return err
	}
	release, err := st.admit(r)
	if err != nil {
		return err
	}
	startPosition := st.core.Position
	defer func() { st.finishAdmission(startPosition, release) }()
	if whole {
		return s.sendWhole(w, r, st)
	}
	return s.sendStream(w, r, st)
}

// finishAdmission reports to the admitter which share of the work after a position was completed, and ends the admission.
func (st *stream) finishAdmission(startPosition uint64, release func()) {
	at := st.request.lastTokenAt
	if st.finished {
		at = time.Now()
	}
	st.server.recordProgress(st.request.id, st.completedShare(startPosition), at)
	release()
}

// admit waits until the stream is admitted.
//
// It is a separate function so that its variables do not stay on the stack of each stopped reader.
func (st *stream) admit(r *request) (release func(), err error) {
	release, err = st.server.Admitter.Admit(r.Context(), Work{
		Entry: st.entry, Workspace: r.workspace, Deadline: st.deadline, Now: r.now, Request: r.id,
		Version: st.engineRequest.Version, Tokens: st.engineRequest.MaxTokens, AlreadyRunning: st.core.Target != "",
	})
	if err != nil {
		return nil, err
	}
	st.server.Events.Write(r.now, timeline.Event{
		Kind: "request_admitted", Request: r.id, Generation: st.engineRequest.Generation, Workspace: r.workspace.Name, Entry: st.entry.Name,
		Version: st.engineRequest.Version, Revision: r.document.Revision,
		Inputs: []timeline.Input{{Name: "position", Value: int64(st.core.Position)}, {Name: "prompt_bytes", Value: int64(len(st.engineRequest.Prompt))}},
	})
	return release, nil
}

// readRequest decodes a request and reserves the memory that its stream will hold.
func (s *Server) readRequest(w http.ResponseWriter, r *request) (st *stream, whole bool, err error) {
	data, err := s.readBody(w, r)
	if err != nil {
		return nil, false, err
	}
	c := completion{}
	if err := decodeJSON(data, &c); err != nil {
		return nil, false, err
	}
	if st, err = s.newStream(r, &c, strings.HasSuffix(r.URL.Path, "/chat/completions")); err != nil {
		return nil, false, err
	}
	r.account.releaseAll()
	return st, !c.Stream, r.account.reserve(streamBytes + attemptBytes + len(st.engineRequest.Prompt))
}

// completedShare returns the completed share of the answer after a position; the stream must have ended.
func (st *stream) completedShare(from uint64) float64 {
	if st.finished {
		return 1
	}
	return float64(st.core.Position-from) / float64(max(uint64(st.engineRequest.MaxTokens), from+1)-from)
}

// validate returns a refusal if the request cannot be run.
func (c *completion) validate(r *request, e *catalogue.Entry, prompt string, chat bool) error {
	switch {
	case prompt == "" || chat && len(c.Messages) == 0:
		return newRefusal(http.StatusBadRequest, "no_prompt", "the request has no prompt")
	case int64(len(prompt)) > e.Limits.BodyBytes:
		return newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the prompt is larger than the entry allows")
	case c.requestedTokens() < 0 || c.requestedTokens() > e.Limits.Tokens:
		return newRefusal(http.StatusBadRequest, "invalid_max_tokens", "max_tokens is outside the entry's limits")
	case !c.Stream && r.Header.Get("Last-Event-ID") != "":
		return newRefusal(http.StatusBadRequest, "cursor_without_stream", "only a streamed answer can go on from Last-Event-ID")
	}
	if name := c.unsupportedParameter(); name != "" {
		return newRefusal(http.StatusBadRequest, "unsupported_parameter", name+" is not supported with this value")
	}
	if name := c.invalidParameter(); name != "" {
		return newRefusal(http.StatusBadRequest, "invalid_parameter", name+" is outside its range")
	}
	return nil
}

func (s *Server) newStream(r *request, c *completion, chat bool) (*stream, error) {
	e := r.document.Entry(c.Model)
	if e == nil || e.Kind != catalogue.Model {
		return nil, s.refuseUnknown(r.now, http.StatusNotFound, "unknown_model", "the catalogue has no such model")
	}
	r.entry = e.Name
	prompt := c.buildPrompt(chat)
	if err := c.validate(r, e, prompt, chat); err != nil {
		return nil, err
	}
	deadline, err := r.deadline(e)
	if err != nil {
		return nil, err
	}
	st := &stream{
		server: s, request: r, account: r.account, entry: e, deadline: deadline, chat: chat,
		wantUsage:     c.StreamOptions != nil && c.StreamOptions.IncludeUsage,
		outbox:        newOutbox(s.Limits.BufferBytes),
		events:        make(chan generation.Event),
		cursor:        generation.Cursor{Workspace: r.workspace.Name, Entry: e.Name, Request: c.contentDigest(prompt, chat)},
		core:          generation.Stream{MaxKeptBytes: s.Limits.MaxKeptTextBytes, ResumeWait: s.Limits.ResumeTimeout, RetryWait: retryDelay, Timeouts: s.Limits.SilenceTimeouts},
		engineRequest: engine.Request{Model: e.Name, Prompt: prompt, MaxTokens: c.requestedTokens(), Sampling: c.sampling()},
	}
	if st.engineRequest.MaxTokens == 0 {
		st.engineRequest.MaxTokens = min(defaultTokens, e.Limits.Tokens)
	}
	if s.calls.isMarked(st.contentDigest()) {
		return nil, crashesTargetsRefusal()
	}
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		return st, st.resumeFromCursor(id)
	}
	st.startGeneration(c.Seed)
	return st, nil
}

// startGeneration prepares a new generation.
func (st *stream) startGeneration(seed *uint64) {
	v := st.entry.VersionNamed(st.server.VersionFor(st.request.now, st.entry, st.request.id))
	st.engineRequest.Generation = newID()
	st.engineRequest.Version, st.engineRequest.Adapter = v.Name, v.Adapter
	st.engineRequest.Seed = rand.Uint64() >> 1
	if seed != nil {
		st.engineRequest.Seed = *seed
	}
}

// resumeFromCursor continues a generation that another connection or instance began.
func (st *stream) resumeFromCursor(text string) error {
	s, now := st.server, st.request.now
	c, err := s.Signer.Verify(now, text)
	if err != nil {
		f := newRefusal(http.StatusBadRequest, err.Error(), "Last-Event-ID is not a cursor that this deployment gave out, or it is too old")
		if err.Error() == "cursor_expired" {
			// The signature is valid, so the generation did run.
			f.Outcome = generation.Ran
		}
		return f
	}
	if c.Workspace != st.cursor.Workspace || c.Entry != st.cursor.Entry || c.Request != st.cursor.Request {
		return newRefusal(http.StatusBadRequest, "cursor_mismatch", "Last-Event-ID belongs to another request")
	}
	if st.entry.VersionNamed(c.Version) == nil {
		r := newRefusal(http.StatusGone, "version_gone", "the version that began this answer is no longer in the catalogue")
		r.Outcome = generation.Ran
		return r
	}
	st.engineRequest.Generation, st.engineRequest.Version, st.engineRequest.Adapter = c.Generation, c.Version, c.Adapter
	st.engineRequest.Seed, st.engineRequest.MaxTokens = c.Seed, int(c.Tokens)
	st.core.Position, st.core.Digest = c.Position, c.Digest
	st.core.Target, st.core.LastAttempt = c.Target, int(c.Attempt)
	return nil
}

const retryDelay = 100 * time.Millisecond

// chunk is one part of an answer in the widely used JSON format.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usage counts tokens. The instance does not split prompts into tokens, so the fields that
// depend on the prompt's token count are null rather than wrong.
type usage struct {
	PromptTokens     *uint64 `json:"prompt_tokens"`
	CompletionTokens uint64  `json:"completion_tokens"`
	TotalTokens      *uint64 `json:"total_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// newChunk returns a chunk without choices.
func (st *stream) newChunk() chunk {
	c := chunk{ID: "gen-" + st.engineRequest.Generation, Object: "text_completion", Created: st.request.now.Unix(), Model: st.entry.Name, Choices: []choice{}}
	if st.chat {
		c.Object = "chat.completion.chunk"
	}
	return c
}

// encodePart returns the JSON of one part; whole marks a complete answer.
func (st *stream) encodePart(p part, whole bool) []byte {
	c, ch := st.newChunk(), choice{}
	switch {
	case st.chat && whole:
		c.Object, ch.Message = "chat.completion", &delta{Role: "assistant", Content: p.text}
	case st.chat:
		ch.Delta = &delta{Content: p.text}
		if p.position == 1 {
			ch.Delta.Role = "assistant"
		}
	default:
		ch.Text = &p.text
	}
	if p.finishReason != "" {
		ch.FinishReason = &p.finishReason
	}
	if whole {
		c.Usage = &usage{CompletionTokens: p.position}
	}
	c.Choices = append(c.Choices, ch)
	data, _ := json.Marshal(c)
	return data
}

// partFrame is the JSON of a part of a streamed answer before and after its text. Encoding
// the whole part by reflection would take four allocations for each token.
type partFrame struct{ before, after []byte }

// cachedPartFrame returns the JSON around the text, which is the same for all parts except the first one of a chat and the last.
func (st *stream) cachedPartFrame() *partFrame {
	if st.partFrame == nil {
		// The only empty string in the JSON is the text: id, object and model are not empty.
		before, after, _ := bytes.Cut(st.encodePart(part{position: 2}, false), []byte(`""`))
		st.partFrame = &partFrame{before: before, after: after}
	}
	return st.partFrame
}

// appendPartJSON appends the JSON of one part of a streamed answer to b.
func (st *stream) appendPartJSON(b []byte, p *part) []byte {
	if p.finishReason != "" || st.chat && p.position == 1 {
		return append(b, st.encodePart(*p, false)...)
	}
	f := st.cachedPartFrame()
	return append(appendJSONString(append(b, f.before...), p.text), f.after...)
}

// appendJSONString appends a text as a JSON string to b, exactly as json.Marshal encodes it.
func appendJSONString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, _ := json.Marshal(text)
			return append(b, data...)
		}
	}
	return append(append(append(b, '"'), text...), '"')
}

// encodeUsage returns the JSON of the final event, which states the usage.
func (st *stream) encodeUsage(p part) []byte {
	c := st.newChunk()
	c.Usage = &usage{CompletionTokens: p.position}
	data, _ := json.Marshal(c)
	return data
}
