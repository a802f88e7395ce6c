package header

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
)

// minStatus is the lowest status of a response. net/http reads any three digits as one.
const minStatus = 100

// StatusError reports a response with a status below 100.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %03d", e.Status) }

// FieldNameError reports a response with an invalid field name in its header. net/http does not interpret such a field, which
// may be the one that delimits the body.
type FieldNameError struct{ Name string }

func (e *FieldNameError) Error() string {
	return fmt.Sprintf("header field name %q is invalid", e.Name)
}

// ReadResponse reads the header of a response as http.ReadResponse does, and rejects one that Check rejects.
func ReadResponse(in *bufio.Reader, r *http.Request) (*http.Response, error) {
	res, err := http.ReadResponse(in, r)
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		return nil, err
	}
	return res, nil
}

// Check returns an error for a header that net/http accepts although it violates HTTP: a *StatusError or a *FieldNameError.
func Check(res *http.Response) error {
	if res.StatusCode < minStatus {
		return &StatusError{Status: res.StatusCode}
	}
	return checkNames(res.Header)
}

// checkNames rejects names with a blank, which net/http keeps as they are, or with a byte that it rejects itself.
func checkNames[H ~map[string][]string](h H) error {
	for name := range h {
		if strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// Transport is an http.Transport that rejects responses that Check rejects, and closes their connections.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkNames(h) },
	}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		_ = conn.Close()
		_ = res.Body.Close()
		return nil, err
	}
	res.Request = r
	return res, nil
}
