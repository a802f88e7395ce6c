package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
)

// cutAnswers are forms of answers with a status of 200 and the body "done"; their bytes are cut anywhere.
var cutAnswers = map[string]struct {
	head, body string
	// endsWithConn is set if the end of the connection is the end of the body.
	endsWithConn bool
}{
	"length":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", body: "done"},
	"chunks":            {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: "4\r\ndone\r\n0\r\n\r\n"},
	"end of connection": {head: "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", body: "done", endsWithConn: true},
	"line feeds alone":  {head: "HTTP/1.1 200 OK\nContent-Length: 4\n\n", body: "done"},
	"folded header":     {head: "HTTP/1.1 200 OK\r\nX-Long: a\r\n b\r\nContent-Length: 4\r\n\r\n", body: "done"},
	"after early hints": {head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", body: "done"},
}

// startCutTarget starts a target that writes the text to each request and closes the connection, or resets it.
func startCutTarget(t *testing.T, text string, reset bool) catalogue.Target {
	return rawEngine(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// TestCutAnswerOfTargetIsTakenAsWhole guards against a caller that gets a success with an empty or short body since the
// target's connection ended in the head or in the body, on each path to targets.
func TestCutAnswerOfTargetIsTakenAsWhole(t *testing.T) {
	s := &Server{Client: NewClient(time.Second), Limits: DefaultLimits(), Board: blackboard.New()}
	require.NoError(t, s.initCalls(context.Background()))
	c := &call{method: http.MethodGet, deadline: time.Now().Add(10 * time.Minute)}
	paths := map[string]func(target catalogue.Target) (body string, err error){
		"call that runs once": func(target catalogue.Target) (string, error) {
			result, err := s.sendOnNewConnection(context.Background(), target, c)
			if err != nil {
				return "", err
			}
			return string(result.Body), nil
		},
		"repeatable call": func(target catalogue.Target) (string, error) {
			result, err := s.sendRepeatable(context.Background(), target, c)
			if err != nil {
				return "", err
			}
			return string(result.Body), nil
		},
		"poll": func(target catalogue.Target) (string, error) {
			data, err := (&Pools{Client: s.Client}).get(context.Background(), "http://"+target.Address.String(), 100)
			return string(data), err
		},
		"generation": func(target catalogue.Target) (string, error) {
			conn, err := s.dialEngine(context.Background(), target)
			if err != nil {
				return "", err
			}
			defer conn.Close()
			r, err := http.NewRequest(http.MethodGet, "http://"+target.Address.String(), nil)
			require.NoError(t, err)
			res, err := conn.roundTrip(r)
			if err != nil {
				return "", err
			}
			data, err := io.ReadAll(res.Body)
			return string(data), err
		},
	}
	for name, answer := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := len(answer.head) + len(answer.body)
			for cut := range whole + 1 {
				// Each lost connection takes a check of whether its target has crashed.
				if cut%4 != 0 && cut < len(answer.head)-3 {
					continue
				}
				for _, reset := range []bool{false, true} {
					target := startCutTarget(t, (answer.head + answer.body)[:cut], reset)
					for path, send := range paths {
						body, err := send(target)
						switch {
						case reset && cut == whole:
							// The reset may overtake the last bytes.
						case cut == whole || answer.endsWithConn && cut >= len(answer.head) && !reset:
							require.NoError(t, err, "%s, cut after %d", path, cut)
							require.Equal(t, "done"[:len(body)], body)
						default:
							require.Error(t, err, "%s, cut after %d, reset %v: %q", path, cut, reset, body)
						}
					}
				}
			}
		})
	}
}
