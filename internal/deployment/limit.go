package deployment

import (
	"cmp"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/slot"
)

// limit sets the instance's router and admitter, so that Config.PrepareInstance can wrap them.
func (d *Deployment) limit(in *Instance) error {
	if d.Config.LocalAdmission {
		in.Router = &server.VersionRouter{Router: &server.LeastRouter{}, Board: in.Board}
		in.Admitter = &server.LocalAdmitter{}
		return nil
	}
	times := d.Config.SlotTimes
	if times == (server.SlotTimes{}) {
		times = server.DefaultSlotTimes()
	}
	in.Slots = &server.Slots{
		Self: slot.Key{ID: in.ID, Incarnation: in.Incarnation}, Address: in.Network.Address(), Store: in.store(d),
		Peers: in.Network, Board: in.Board, Events: in.Events, Metrics: in.Metrics, Log: in.Log, Times: times,
	}
	if err := in.Slots.Init(); err != nil {
		return err
	}
	in.Pools = &server.Pools{
		Policy: cmp.Or(d.Config.RoutingPolicy, server.DefaultRouting), Seed: uint64(in.Incarnation),
		Slots: in.Slots, Board: in.Board, Client: in.Client, Metrics: in.Metrics,
	}
	inner := &server.SlotRouter{Slots: in.Slots, Board: in.Board, Pools: in.Pools}
	router := &server.VersionRouter{Router: inner, Board: in.Board}
	in.queue = server.NewSlotAdmitter(in.Slots, router)
	inner.OnSlotFreed = in.queue.SlotFreed
	in.Router, in.Admitter = router, in.queue
	return nil
}
