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

// complete carries one generation to its caller.
func (s *Server) complete(w http.ResponseWriter, r *request) error {
	st, whole, err := s.readRequest(w, r)
	if err != nil {
		return err
	}
	leave, err := st.enter(r)
	if err != nil {
		return err
	}
	begun := st.core.Position
	defer func() { st.leave(begun, leave) }()
	if whole {
		return s.sendWhole(w, r, st)
	}
	return s.sendStream(w, r, st)
}

// leave tells the admitter which share of the work was done from a position on, and ends the admission.
func (st *stream) leave(begun uint64, end func()) {
	at := st.request.lastAt
	if st.finished {
		at = time.Now()
	}
	st.server.recordProgress(st.request.id, st.share(begun), at)
	end()
}

// enter waits until the stream is admitted.
//
// It is apart from complete since its variables would lie on the stack of each stopped reader.
func (st *stream) enter(r *request) (leave func(), err error) {
	leave, err = st.server.Admitter.Admit(r.Context(), Work{
		Entry: st.entry, Workspace: r.workspace, Deadline: st.deadline, Now: r.now, Request: r.id,
		Version: st.wire.Version, Tokens: st.wire.MaxTokens, AlreadyRunning: st.core.Target != "",
	})
	if err != nil {
		return nil, err
	}
	st.server.Events.Write(r.now, timeline.Event{
		Kind: "request_admitted", Request: r.id, Generation: st.wire.Generation, Workspace: r.workspace.Name, Entry: st.entry.Name,
		Version: st.wire.Version, Revision: r.document.Revision,
		Inputs: []timeline.Input{{Name: "position", Value: int64(st.core.Position)}, {Name: "prompt_bytes", Value: int64(len(st.wire.Prompt))}},
	})
	return leave, nil
}

// readRequest decodes a request and counts what it holds from here on.
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
	r.account.close()
	return st, !c.Stream, r.account.reserve(streamBytes + attemptBytes + len(st.wire.Prompt))
}

// share returns the part of the answer from a position on that came; the stream must have ended.
func (st *stream) share(from uint64) float64 {
	if st.finished {
		return 1
	}
	return float64(st.core.Position-from) / float64(max(uint64(st.wire.MaxTokens), from+1)-from)
}

// check refuses a request that cannot be run as it stands.
func (c *completion) check(r *request, e *catalogue.Entry, prompt string, chat bool) error {
	switch {
	case prompt == "" || chat && len(c.Messages) == 0:
		return newRefusal(http.StatusBadRequest, "no_prompt", "the request has no prompt")
	case int64(len(prompt)) > e.Limits.BodyBytes:
		return newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", "the prompt is larger than the entry allows")
	case c.tokens() < 0 || c.tokens() > e.Limits.Tokens:
		return newRefusal(http.StatusBadRequest, "invalid_max_tokens", "max_tokens is outside the entry's limits")
	case !c.Stream && r.Header.Get("Last-Event-ID") != "":
		return newRefusal(http.StatusBadRequest, "cursor_without_stream", "only a streamed answer can go on from Last-Event-ID")
	}
	if name := c.unsupported(); name != "" {
		return newRefusal(http.StatusBadRequest, "unsupported_parameter", name+" is not supported with this value")
	}
	if name := c.invalid(); name != "" {
		return newRefusal(http.StatusBadRequest, "invalid_parameter", name+" is outside its range")
	}
	return nil
}

func (s *Server) newStream(r *request, c *completion, chat bool) (*stream, error) {
	e := r.document.Entry(c.Model)
	if e == nil || e.Kind != catalogue.Model {
		return nil, newRefusal(http.StatusNotFound, "unknown_model", "the catalogue has no such model")
	}
	r.entry = e.Name
	prompt := c.prompt(chat)
	if err := c.check(r, e, prompt, chat); err != nil {
		return nil, err
	}
	deadline, err := r.deadline(e)
	if err != nil {
		return nil, err
	}
	st := &stream{
		server: s, request: r, account: r.account, entry: e, deadline: deadline, chat: chat,
		usage:  c.StreamOptions != nil && c.StreamOptions.IncludeUsage,
		out:    newOutbox(s.Limits.BufferBytes),
		events: make(chan generation.Event),
		cursor: generation.Cursor{Workspace: r.workspace.Name, Entry: e.Name, Request: c.digest(prompt, chat)},
		core:   generation.Stream{MaxKeptBytes: s.Limits.MaxKeptTextBytes, ResumeWait: s.Limits.ResumeTimeout, RetryWait: retryWait, Timeouts: s.Limits.SilenceTimeouts},
		wire:   engine.Request{Model: e.Name, Prompt: prompt, MaxTokens: c.tokens(), Sampling: c.sampling()},
	}
	if st.wire.MaxTokens == 0 {
		st.wire.MaxTokens = min(defaultTokens, e.Limits.Tokens)
	}
	if s.calls.isMarked(st.contentDigest()) {
		return nil, crashesTargetsRefusal()
	}
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		return st, st.takeUp(id)
	}
	st.begin(c.Seed)
	return st, nil
}

// begin sets up a new generation.
func (st *stream) begin(seed *uint64) {
	v := st.entry.VersionNamed(st.server.VersionFor(st.request.now, st.entry, st.request.id))
	st.wire.Generation = newID()
	st.wire.Version, st.wire.Adapter = v.Name, v.Adapter
	st.wire.Seed = rand.Uint64() >> 1
	if seed != nil {
		st.wire.Seed = *seed
	}
}

// takeUp goes on with a generation that another connection or instance began.
func (st *stream) takeUp(text string) error {
	s, now := st.server, st.request.now
	c, err := s.Signer.Verify(now, text)
	if err != nil {
		f := newRefusal(http.StatusBadRequest, err.Error(), "Last-Event-ID is not a cursor that this deployment gave out, or it is too old")
		if err.Error() == "cursor_expired" {
			// The signature holds, so that the generation did run.
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
	st.wire.Generation, st.wire.Version, st.wire.Adapter = c.Generation, c.Version, c.Adapter
	st.wire.Seed, st.wire.MaxTokens = c.Seed, int(c.Tokens)
	st.core.Position, st.core.Digest = c.Position, c.Digest
	st.core.Target, st.core.LastAttempt = c.Target, int(c.Attempt)
	return nil
}

const retryWait = 100 * time.Millisecond

// chunk is one part of an answer in the widely used JSON form.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// usage counts tokens. The instance does not split prompts into tokens, so that
// what depends on the prompt's number is null rather than a wrong figure.
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

// chunk returns a part of the answer without choices.
func (st *stream) chunk() chunk {
	c := chunk{ID: "gen-" + st.wire.Generation, Object: "text_completion", Created: st.request.now.Unix(), Model: st.entry.Name, Choices: []choice{}}
	if st.chat {
		c.Object = "chat.completion.chunk"
	}
	return c
}

// encode returns the JSON of one part; whole marks a complete answer.
func (st *stream) encode(p part, whole bool) []byte {
	c, ch := st.chunk(), choice{}
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
	if p.finish != "" {
		ch.FinishReason = &p.finish
	}
	if whole {
		c.Usage = &usage{CompletionTokens: p.position}
	}
	c.Choices = append(c.Choices, ch)
	data, _ := json.Marshal(c)
	return data
}

// pieceFrame is the JSON of a part of a streamed answer before and after its text. Encoding
// the whole part by reflection takes four allocations for each token.
type pieceFrame struct{ before, after []byte }

// frame returns the JSON around the text of all parts but the first of a chat and the last.
func (st *stream) frame() *pieceFrame {
	if st.piece == nil {
		// The only empty string in the JSON is the text's place: id, object and model have letters.
		before, after, _ := bytes.Cut(st.encode(part{position: 2}, false), []byte(`""`))
		st.piece = &pieceFrame{before: before, after: after}
	}
	return st.piece
}

// appendPiece adds the JSON of one part of a streamed answer to b.
func (st *stream) appendPiece(b []byte, p *part) []byte {
	if p.finish != "" || st.chat && p.position == 1 {
		return append(b, st.encode(*p, false)...)
	}
	f := st.frame()
	return append(appendText(append(b, f.before...), p.text), f.after...)
}

// appendText adds the JSON string of a text to b, the same as json.Marshal writes it.
func appendText(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			data, _ := json.Marshal(text)
			return append(b, data...)
		}
	}
	return append(append(append(b, '"'), text...), '"')
}

// encodeUsage returns the JSON of the event that ends an answer with its usage.
func (st *stream) encodeUsage(p part) []byte {
	c := st.chunk()
	c.Usage = &usage{CompletionTokens: p.position}
	data, _ := json.Marshal(c)
	return data
}
