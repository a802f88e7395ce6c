package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Caller sends requests one after another over a kept connection, and none of them twice; set its fields before the
// first call.
type Caller struct {
	Instance *Instance
	Host     string

	conn   net.Conn
	reader *bufio.Reader
}

// Reply is what a caller received; its status is 0 if that was no complete answer.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Send sends one request, whose target is passed on as it is, and returns the answer.
func (c *Caller) Send(method, target, id string, timeout time.Duration) Reply {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Instance.IP+":8740", time.Second)
		if err != nil {
			return Reply{}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reply, keep := c.exchange(method, target, id, timeout)
	if !keep {
		c.Close()
	}
	return reply
}

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *Caller) exchange(method, target, id string, timeout time.Duration) (reply Reply, keep bool) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, c.Host, headerRequestID, id, headerDeadline, timeout.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		return Reply{}, false
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Reply{}, false
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	if err != nil {
		return Reply{}, false
	}
	return Reply{Status: res.StatusCode, Header: res.Header, Body: string(body)}, !res.Close
}
