package server

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/engine"
	"bambooferry.example/bambooferry/pkg/generation"
)

// Guards against a line that is truncated or mixed with its neighbours at the buffer's edge, and against
// a line that is accepted although it exceeds the maximum length.
func TestLinesOfAllLengths(t *testing.T) {
	for _, n := range []int{2, lineBufferBytes - 1, lineBufferBytes, lineBufferBytes + 1, 3 * lineBufferBytes, engine.MaxLineBytes - 1, engine.MaxLineBytes, engine.MaxLineBytes + 1, 4 * engine.MaxLineBytes} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			text := strings.Repeat("x", n-1) + "\n"
			l := &lineReader{in: bufio.NewReaderSize(strings.NewReader("before\n"+text+"after\n"), lineBufferBytes)}
			line, err := l.readLine()
			require.NoError(t, err)
			require.Equal(t, "before\n", string(line))
			line, err = l.readLine()
			if n > engine.MaxLineBytes {
				require.ErrorIs(t, err, bufio.ErrBufferFull)
				require.LessOrEqual(t, cap(l.longLine), 2*engine.MaxLineBytes)
				return
			}
			require.NoError(t, err)
			require.Equal(t, text, string(line))
			line, err = l.readLine()
			require.NoError(t, err)
			require.Equal(t, "after\n", string(line))
			_, err = l.readLine()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// rawEngine starts an engine that handles each connection with the given function.
func rawEngine(t *testing.T, serve func(net.Conn)) catalogue.Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c) }()
		}
	}()
	return catalogue.Target{Name: "engine-a", Address: netip.MustParseAddrPort(ln.Addr().String())}
}

func respondWith(text string) func(net.Conn) {
	return func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, text)
	}
}

func openTestAttempt(ctx context.Context, t *testing.T, target catalogue.Target, prompt string) (engine.TokenReader, error) {
	s := &Server{Client: NewClient(time.Second)}
	require.NoError(t, s.initCalls(ctx))
	return s.openAttempt(ctx, target, &engine.Request{Prompt: prompt, Attempt: 1}, generation.Fresh)
}

// Guards against an engine's response that is misinterpreted, or that makes the instance exceed its memory bounds.
func TestEngineResponses(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 21\r\n\r\n{\"outcome\":\"not_run\"}"
	token := `{"attempt":1,"position":0,"text":"a"}` + "\n"
	for _, c := range []struct {
		name  string
		serve func(net.Conn)
		bytes int
		kind  generation.EventKind
		// tokens is the number of tokens in an accepted response.
		tokens int
	}{
		{"refused", respondWith(refusal), 10, generation.Refused, 0},
		{"refused before the body was taken", func(c net.Conn) {
			_, _ = io.WriteString(c, refusal)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}, 4 << 20, generation.Refused, 0},
		{"closed without an answer", respondWith(""), 10, generation.ConnectionLost, 0},
		{"header without an end", func(c net.Conn) {
			respondWith("HTTP/1.1 200 OK\r\n")(c)
			for err := error(nil); err == nil; {
				_, err = io.WriteString(c, "X: "+strings.Repeat("x", 1000)+"\r\n")
			}
		}, 10, generation.ConnectionLost, 0},
		{"200 after an informational answer", respondWith("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + token), 10, generation.Accepted, 1},
		{"body longer than the header's bound", respondWith("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(token, 2000)), 10, generation.Accepted, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			rd, err := openTestAttempt(t.Context(), t, rawEngine(t, c.serve), strings.Repeat("p", c.bytes))
			if err != nil {
				require.Equal(t, c.kind, openFailureKind(err, generation.Fresh), err)
				return
			}
			require.Equal(t, c.kind, generation.Accepted)
			for range c.tokens {
				tok, err := rd.Next()
				require.NoError(t, err)
				require.Equal(t, "a", tok.Text)
			}
			_, err = rd.Next()
			require.ErrorIs(t, err, io.EOF)
			require.NoError(t, rd.Close())
		})
	}
	rd, err := openTestAttempt(t.Context(), t, catalogue.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}, "p")
	require.Nil(t, rd)
	require.Equal(t, generation.Unreachable, openFailureKind(err, generation.Fresh))
}

// Guards against a connection to a silent engine that outlives its attempt.
func TestEndedAttemptClosesItsConnection(t *testing.T) {
	closed := make(chan error, 1)
	target := rawEngine(t, func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		closed <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := openTestAttempt(ctx, t, target, "p")
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine's connection is still open")
	}
}

// Guards against a second copy of the prompt that is kept by a request that has been sent.
func TestSentBodyIsReleased(t *testing.T) {
	b := &onceBody{data: []byte("prompt")}
	data, err := io.ReadAll(b)
	require.NoError(t, err)
	require.Equal(t, "prompt", string(data))
	require.Nil(t, b.data)
	b = &onceBody{data: []byte("prompt")}
	require.NoError(t, b.Close())
	n, err := b.Read(make([]byte, 4))
	require.Zero(t, n)
	require.True(t, errors.Is(err, io.EOF))
}

// Guards against a part whose JSON from appendPartJSON differs from that of encodePart.
func TestPartJSONMatchesEncoder(t *testing.T) {
	for _, chat := range []bool{false, true} {
		st := &stream{chat: chat, entry: &catalogue.Entry{Name: `model "of" <a>`}, request: &request{now: time.Unix(1_900_000_000, 0)}}
		st.engineRequest.Generation = "0123456789ab"
		for _, text := range []string{"", "token ", `""`, `"`, `\`, "<b>&", "\n\t\x00\x7f", "é漢\u2028\u2029", "\xff\xfe", "~ !"} {
			for _, p := range []part{{text: text, position: 1}, {text: text, position: 2}, {text: text, position: 3, finishReason: "length"}} {
				require.Equal(t, string(st.encodePart(p, false)), string(st.appendPartJSON(nil, &p)), "%q", text)
			}
		}
	}
}

// Guards against a stopped reader's block that exceeds the limit by more than its last token.
func TestOutboxBlockStaysNearTheLimit(t *testing.T) {
	const limit = 2 << 10
	for _, n := range []int{1, 8, 300, 1024} {
		o := newOutbox(limit)
		text := strings.Repeat("x", n)
		held := 0
		for o.undelivered() < limit {
			held += o.put(text, 1, "engine-a")
		}
		require.Equal(t, cap(o.data), held)
		require.LessOrEqual(t, held, (limit+n+16)*9/8, "token of %d bytes", n)
		p := part{}
		var got bytes.Buffer
		for freed, ok := o.take(&p); ok; freed, ok = o.take(&p) {
			held -= freed
			got.WriteString(p.text)
		}
		require.Equal(t, strings.Repeat("x", got.Len()), got.String())
		require.Zero(t, got.Len()%n)
	}
}
