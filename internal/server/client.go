package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"bambooferry.example/bambooferry/internal/header"
	"bambooferry.example/bambooferry/internal/socket"
)

// socketBytes is the size requested for the kernel buffers that hold an unread answer.
//
// The kernel doubles the size. By default it lets a buffer grow to megabytes, which would be
// held for each stopped reader, on the engine's side and on the caller's.
const socketBytes = 16 << 10

// NewClient returns the HTTP client for targets; its connections use small buffers.
//
// Each request gets a connection of its own: a target that writes an answer once more would otherwise answer the
// next request on the connection with it, since answers on the own interface do not name their request.
func NewClient(dialTimeout time.Duration) *http.Client {
	dialer := &socket.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if t, ok := c.(*socket.Conn); ok {
				_ = t.SetReadBuffer(socketBytes)
			}
			return c, err
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     2 << 10,
		WriteBufferSize:    2 << 10,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// A redirect is an answer like any other: its address is not one of the catalogue's.
	returnRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: &header.Transport{Transport: transport}, CheckRedirect: returnRedirect}
}
