package server

import (
	"context"
	"net/netip"

	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/instance"
)

// Members is the blackboard key of the membership view.
var Members = blackboard.Key[instance.View]{Name: "members"}

// Peers sends RPCs to other instances.
type Peers interface {
	// Call fails with a *peer.CallError, which states whether the call may have reached the peer.
	Call(ctx context.Context, to netip.AddrPort, method string, in, out any) error
	// Register makes a service available to other instances, by the rules of net/rpc.
	Register(name string, service any) error
}
