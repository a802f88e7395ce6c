package peer

import (
	"context"
	"net/rpc"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// link is an outgoing connection to a peer.
type link struct {
	client *rpc.Client
	conn   *gobConn
	// pending and retired are guarded by the network's lock.
	pending int
	retired bool
}

// call makes one call and reports whether the request may have been sent to the peer.
func (l *link) call(ctx context.Context, method string, args, reply any) (bool, error) {
	var maybeSent atomic.Bool
	// The response may arrive after ctx ends, when reply belongs to the caller again.
	received := reply
	if reply != nil {
		received = reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	}
	call := l.client.Go(method, &outgoingRequest{args, &maybeSent}, received, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return maybeSent.Load(), ctx.Err()
	}
	if call.Error == nil && reply != nil {
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(received).Elem())
	}
	return maybeSent.Load(), call.Error
}

// reusableAfter reports whether the link can carry further calls after a call returned err.
func (l *link) reusableAfter(err error, startedAt time.Time) bool {
	var serverErr rpc.ServerError
	switch {
	case err == nil || errors.As(err, &serverErr):
		return true
	case errors.Is(err, context.Canceled):
		return true
	case errors.Is(err, context.DeadlineExceeded):
		// If anything was received since the call started, the link works and the method is slow.
		return l.conn.in.lastRead.Load() > startedAt.UnixNano()
	}
	return false
}
