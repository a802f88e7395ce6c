package header

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// minStatus is the lowest status of a response. net/http reads any three digits as one.
const minStatus = 100

// StatusError reports a response whose status is none of HTTP.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %03d", e.Status) }

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

// Check returns why the header of a response can't be that of a sound one, which net/http accepts, or nil. The error is a
// *StatusError.
func Check(res *http.Response) error {
	if res.StatusCode < minStatus {
		return &StatusError{Status: res.StatusCode}
	}
	return nil
}

// Transport is an http.Transport that rejects responses that Check rejects, and closes their connections.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
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
