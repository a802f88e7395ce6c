package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/server"
)

// startCopyingTarget starts a target that answers each request with its path, and that writes its latest answer
// once more on the same connection: with the answer itself, or where the next answer is due.
func startCopyingTarget(t testing.TB, withAnswer bool) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		latest := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			copied := latest
			latest = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			if withAnswer {
				copied = latest
			}
			if _, err := io.WriteString(c, copied+latest); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestRepeatableCallGetsAnswerToAnotherCall guards against a caller that gets the answer to another caller's request,
// since a target wrote it once more on a connection that carries several calls.
func TestRepeatableCallGetsAnswerToAnotherCall(t *testing.T) {
	for name, withAnswer := range map[string]bool{"copied with the answer": true, "copied where the next answer is due": false} {
		t.Run(name, func(t *testing.T) {
			service := startCopyingTarget(t, withAnswer)
			in := startInstanceWithService(t, server.DefaultLimits(), startEngine(t, http.NotFoundHandler()), service)
			foreign := 0
			for i := range 20 {
				id := fmt.Sprint("call-", i)
				c := openRaw(t, in)
				_, err := io.WriteString(c, rawRequest("repeatable", id))
				require.NoError(t, err)
				a, err := c.answer()
				require.NoError(t, err)
				if a.status == http.StatusOK && a.body != "/run/"+id {
					foreign++
				}
				require.Equal(t, http.StatusOK, a.status, a.body)
			}
			require.Zero(t, foreign, "of 20 calls answered with another call's answer")
		})
	}
}

// TestClientGetsAnswerToFormerRequest guards against load reports and answers to orders that belong to a former
// request to the same target.
func TestClientGetsAnswerToFormerRequest(t *testing.T) {
	for name, withAnswer := range map[string]bool{"copied with the answer": true, "copied where the next answer is due": false} {
		t.Run(name, func(t *testing.T) {
			target := startCopyingTarget(t, withAnswer)
			client := server.NewClient(time.Second)
			foreign := 0
			for i := range 20 {
				path := fmt.Sprint("/", i)
				res, err := client.Get("http://" + target.String() + path)
				require.NoError(t, err)
				data, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.NoError(t, res.Body.Close())
				if string(data) != path {
					foreign++
				}
			}
			require.Zero(t, foreign, "of 20 requests answered with another request's answer")
		})
	}
}
