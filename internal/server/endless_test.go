package server

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against targets that send a header or informational responses without end, which the instance would
// hold in memory or read until the call's deadline.
func TestEndlessResponseHeader(t *testing.T) {
	for name, text := range map[string]string{
		"header line":   "x",
		"header lines":  "X-A: " + strings.Repeat("b", 100) + "\r\n",
		"informational": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			instanceEnd, targetEnd := net.Pipe()
			defer instanceEnd.Close()
			sent := make(chan int, 1)
			go func() {
				defer targetEnd.Close()
				_, _ = targetEnd.Read(make([]byte, 4<<10))
				total := 0
				if name != "informational" {
					_, _ = targetEnd.Write([]byte("HTTP/1.1 200 OK\r\n"))
				}
				for total < 8<<20 {
					n, err := targetEnd.Write([]byte(text))
					if total += n; err != nil {
						break
					}
				}
				sent <- total
			}()
			req, err := http.NewRequest(http.MethodGet, "http://t/", nil)
			require.NoError(t, err)
			_, err = (&Server{Limits: Limits{MaxAnswerBytes: 1 << 10}}).roundTrip(instanceEnd, req)
			require.Error(t, err)
			_ = instanceEnd.Close()
			select {
			case total := <-sent:
				require.LessOrEqual(t, total, 2*maxHeaderBytes)
			case <-time.After(5 * time.Second):
				t.Fatal("the instance still reads")
			}
		})
	}
}

// TestEndlessHeaderOfRepeatableCall guards against a target whose header without end the client for repeatable calls,
// polls and orders holds in memory.
func TestEndlessHeaderOfRepeatableCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBytes)
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		total := 0
		for total < 8<<20 {
			n, err := c.Write([]byte("X-A: " + strings.Repeat("b", 1000) + "\r\n"))
			if total += n; err != nil {
				break
			}
		}
		sent <- total
	}()
	_, err = NewClient(time.Second).Get("http://" + ln.Addr().String())
	require.Error(t, err)
	select {
	case total := <-sent:
		// The kernel's buffers hold some more.
		require.LessOrEqual(t, total, 16*maxHeaderBytes)
	case <-time.After(5 * time.Second):
		t.Fatal("the instance still reads")
	}
}
