package callerconn

import "net"

// listener wraps accepted connections.
type listener struct {
	net.Listener
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, &net.OpError{Op: "accept", Net: c.LocalAddr().Network(), Addr: c.LocalAddr(), Err: net.UnknownNetworkError(c.LocalAddr().Network())}
	}
	return &conn{TCPConn: t}, nil
}
