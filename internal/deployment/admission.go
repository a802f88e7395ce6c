package deployment

import (
	"cmp"

	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/pkg/slot"
)

// initAdmission sets the instance's router and admitter. It runs before Config.PrepareInstance, which may wrap them.
func (d *Deployment) initAdmission(in *Instance) error {
	if d.Config.LocalAdmission {
		in.Router = &server.VersionRouter{Router: &server.LeastRouter{}, Board: in.Board}
		in.Admitter = &server.LocalAdmitter{}
		return nil
	}
	slotTimes := d.Config.SlotTimes
	if slotTimes == (server.SlotTimes{}) {
		slotTimes = server.DefaultSlotTimes()
	}
	in.Slots = &server.Slots{
		Self: slot.Key{ID: in.ID, Incarnation: in.Incarnation}, Address: in.Network.Address(), Store: in.newKeyValueClient(d),
		Peers: in.Network, Board: in.Board, Events: in.Events, Metrics: in.Metrics, Log: in.Log, Times: slotTimes,
	}
	if err := in.Slots.Init(); err != nil {
		return err
	}
	in.Pools = &server.Pools{
		Policy: cmp.Or(d.Config.RoutingPolicy, server.DefaultRouting), Seed: uint64(in.Incarnation),
		Slots: in.Slots, Board: in.Board, Client: in.Client, Metrics: in.Metrics,
	}
	slotRouter := &server.SlotRouter{Slots: in.Slots, Board: in.Board, Pools: in.Pools}
	router := &server.VersionRouter{Router: slotRouter, Board: in.Board}
	in.slotAdmitter = server.NewSlotAdmitter(in.Slots, router)
	slotRouter.OnSlotFreed = in.slotAdmitter.SlotFreed
	in.Router, in.Admitter = router, in.slotAdmitter
	return nil
}
