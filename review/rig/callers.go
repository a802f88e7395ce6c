package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// The headers of the platform that the stand-ins use.
const (
	headerID       = "X-Bambooferry-Request-Id"
	headerDeadline = "X-Bambooferry-Request-Deadline"
	headerSeal     = "X-Bambooferry-Response-Seal"
	headerPrefix   = "X-Bambooferry-Prompt-Prefix"
	headerExpect   = "X-Bambooferry-Expect-Instance"
	headerInstance = "X-Bambooferry-Instance-Id"
	headerTenant   = "X-Bambooferry-Tenant"
)

// callPatience is the time that the caller of a call waits.
const callPatience = 1500 * time.Millisecond

// request is one request of a caller.
type request struct {
	id, method, target, key string
	body                    []byte
	deadline                time.Duration
	header                  map[string]string
}

// head returns the header of a request as it is sent.
func (r *request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.target, host, headerID, r.id, headerDeadline, cmp.Or(r.deadline, callPatience).Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if len(r.body) > 0 || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// answer is what a caller received.
type answer struct {
	status int
	seal   string
	body   []byte
	err    error
}

// String describes the answer for the record.
func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	text := fmt.Sprintf("status %d, seal %q, %d bytes", a.status, a.seal, len(a.body))
	if a.err != nil {
		text += fmt.Sprintf(", broken off: %v", a.err)
	}
	return text
}

// exchange sends a request on a new connection, reads its answer and records both.
func (f *fleet) exchange(in *instance, r *request, patience time.Duration) {
	f.record.printf("caller sends %q to %s: %s %s, key %q, %d bytes of body", r.id, in.name, r.method, r.target, r.key, len(r.body))
	f.record.printf("caller gets for %q: %s", r.id, exchange(in.front(), r, patience))
}

func exchange(address string, r *request, patience time.Duration) *answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write(append(r.head(), r.body...)); err != nil {
		return &answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return &answer{err: err}
	}
	a := &answer{status: res.StatusCode, seal: res.Header.Get(headerSeal)}
	a.body, a.err = io.ReadAll(res.Body)
	return a
}
