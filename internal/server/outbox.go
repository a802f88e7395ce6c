package server

import (
	"encoding/binary"
	"slices"
	"sync"

	"bambooferry.example/bambooferry/pkg/generation"
)

// part is one token of an answer or the answer's end, to be written to the caller.
type part struct {
	text string
	// position is the position of the next token; digest covers all tokens before it.
	position uint64
	digest   generation.Digest
	// attempt and target are the last ones that delivered a token when the part was taken.
	attempt      int
	target       string
	finishReason string
	err          error
}

// outbox buffers the tokens between a stream's loop and its writer.
//
// Tokens are stored as length and text in one block, since a part for each token would take
// 100 bytes for a text of 6. Position and digest are updated when a token is taken.
type outbox struct {
	mu           sync.Mutex
	data         []byte
	readOffset   int
	limit        int
	position     uint64
	digest       generation.Digest
	attempt      int
	target       string
	finishReason string
	err          error
	// ready signals that a part or the end was added, space that the undelivered text fell below half
	// of the limit or was read completely.
	ready chan struct{}
	space chan struct{}
}

// keptBlockBytes is the largest empty block that is kept for the next token.
const keptBlockBytes = 512

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
}

// setStart sets the position at which the answer continues; it must be called before the first token.
func (o *outbox) setStart(position uint64, digest generation.Digest) {
	o.position, o.digest = position, digest
}

// put adds a token and returns by how many bytes the memory in use has changed.
func (o *outbox) put(text string, attempt int, target string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := cap(o.data)
	if o.readOffset > 0 && len(o.data)+len(text)+binary.MaxVarintLen32 > cap(o.data) {
		o.data = o.data[:copy(o.data, o.data[o.readOffset:])]
		o.readOffset = 0
	}
	o.grow(len(text) + binary.MaxVarintLen32)
	o.data = append(binary.AppendUvarint(o.data, uint64(len(text))), text...)
	o.attempt, o.target = attempt, target
	signal(o.ready)
	return cap(o.data) - before
}

// grow makes room for n more bytes; the caller holds the lock.
//
// The block doubles up to the limit and then grows only by the bytes needed, since the
// stream stops there: append would add a quarter, which would be held for each stopped reader.
func (o *outbox) grow(n int) {
	need := len(o.data) + n
	if need <= cap(o.data) {
		return
	}
	size := max(need, min(2*cap(o.data), o.limit))
	o.data = append(slices.Grow([]byte(nil), size), o.data...)
}

// setEnd adds the answer's end: a finish reason or an error.
func (o *outbox) setEnd(finishReason string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.finishReason == "" && o.err == nil {
		o.finishReason, o.err = finishReason, err
	}
	signal(o.ready)
}

// take removes the next part, or returns false if there is none yet; freed is in bytes.
func (o *outbox) take(p *part) (freed int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*p = part{attempt: o.attempt, target: o.target}
	held := len(o.data) - o.readOffset
	if held == 0 {
		p.position, p.digest, p.finishReason, p.err = o.position, o.digest, o.finishReason, o.err
		return 0, p.finishReason != "" || p.err != nil
	}
	n, size := binary.Uvarint(o.data[o.readOffset:])
	from := o.readOffset + size
	p.text = string(o.data[from : from+int(n)])
	o.readOffset = from + int(n)
	o.position++
	o.digest = o.digest.Add(p.text)
	p.position, p.digest = o.position, o.digest
	left := len(o.data) - o.readOffset
	if left == 0 {
		freed = o.clear()
	}
	if left == 0 || held >= o.limit/2 && left < o.limit/2 {
		signal(o.space)
	}
	return freed, true
}

// clear empties the block and returns the number of bytes freed; the caller holds the lock.
func (o *outbox) clear() int {
	o.readOffset = 0
	if cap(o.data) <= keptBlockBytes {
		o.data = o.data[:0]
		return 0
	}
	freed := cap(o.data)
	o.data = nil
	return freed
}

// discard discards all buffered tokens and returns the number of bytes freed.
func (o *outbox) discard() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	freed := cap(o.data)
	o.data, o.readOffset = nil, 0
	return freed
}

// undelivered returns the number of bytes that wait for the reader.
func (o *outbox) undelivered() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data) - o.readOffset
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
