package tunnel

import (
	"encoding/json"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// maxRequestLine bounds the line that opens a tunnel.
	maxRequestLine = 1 << 10
	// maxFrame bounds the bytes of a frame. A frame of length endFrame is the end of the target's bytes, and one of
	// length lostFrame the loss of the target's connection.
	maxFrame   = 4 << 10
	endFrame   = 0
	lostFrame  = 0xffff
	headerSize = 2
	// keepAliveInterval is the time without data after which the kernel probes a connection, and the time between
	// two probes. unackedTimeout bounds the time that sent data, and probes, may stay unacknowledged.
	keepAliveInterval = time.Second
	unackedTimeout    = 3 * time.Second
	// tcpUserTimeout is the number of the TCP_USER_TIMEOUT option on Linux; package syscall does not define it.
	tcpUserTimeout = 18
)

// Result is a server's response to the request for a tunnel.
type Result byte

// The results of a request for a tunnel.
const (
	// Connected is the response once the target is connected.
	Connected Result = 'c'
	// TargetRefused, TargetUnreachable and TargetUnknown concern the target.
	TargetRefused     Result = 'r'
	TargetUnreachable Result = 'u'
	TargetUnknown     Result = 'n'
	// LinksLost, Stopping, Full and Denied concern the carrier.
	LinksLost Result = 'l'
	Stopping  Result = 's'
	Full      Result = 'f'
	Denied    Result = 'd'
)

var resultNames = map[Result]string{
	Connected: "connected", TargetRefused: "target_refused", TargetUnreachable: "target_unreachable", TargetUnknown: "target_unknown",
	LinksLost: "links_lost", Stopping: "stopping", Full: "full", Denied: "denied",
}

// String returns the name of the result, as in the log and the metrics.
func (r Result) String() string {
	if name, ok := resultNames[r]; ok {
		return name
	}
	return "unknown"
}

// ResultError reports that a carrier has not opened a tunnel.
type ResultError struct{ Result Result }

func (e *ResultError) Error() string { return "tunnel not opened: " + e.Result.String() }

// CarrierError reports that a connection to or through a carrier has failed, which says nothing about the target.
type CarrierError struct{ Err error }

func (e *CarrierError) Error() string { return fmt.Sprintf("carrier: %v", e.Err) }

func (e *CarrierError) Unwrap() error { return e.Err }

// TargetLostError reports that a carrier has lost the target's connection.
type TargetLostError struct{}

func (*TargetLostError) Error() string { return "the carrier lost the target's connection" }

// openRequest is the line that opens a tunnel.
type openRequest struct {
	// Instance names the instance that asks, and Key proves it.
	Instance string `json:"instance"`
	Key      string `json:"key"`
	Target   string `json:"target"`
	// Confirm asks the carrier to show that its links are sound before it reports that the target refuses connections.
	Confirm bool `json:"confirm,omitempty"`
}

// Validate reports whether a request can be used.
func (r *openRequest) Validate() error {
	for field, value := range map[string]string{"instance": r.Instance, "key": r.Key, "target": r.Target} {
		if value == "" {
			return &RequestError{Field: field}
		}
	}
	return nil
}

// RequestError reports which field of a request for a tunnel is missing.
type RequestError struct{ Field string }

func (e *RequestError) Error() string { return "tunnel request: " + e.Field + " is missing" }

func decodeRequest(line []byte) (*openRequest, error) {
	r := &openRequest{}
	if err := json.Unmarshal(line, r); err != nil {
		return nil, err
	}
	return r, r.Validate()
}

// setTimeouts makes the kernel give up a connection whose other end does not respond.
func setTimeouts(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// reset closes a connection so that its other end does not take it for complete.
func reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
