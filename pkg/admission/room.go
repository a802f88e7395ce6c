package admission

import "time"

// Room is the room of a pool, as its owner knows it.
type Room struct {
	// Slots is the number of requests that the pool's open targets can run at once by their slots and their memory.
	Slots int
	// Running is the number of requests of all instances that run there, and Own that of this instance among them.
	Running, Own int
	// Refusing is the number of further slots at targets that refuse requests now though they seem to be free.
	Refusing int
	// Unlimited is set if the room is not known, so that each request may start.
	Unlimited bool
	// ServiceTime is how long a request takes on average, or 0 if it is not known.
	ServiceTime time.Duration
}

// Free returns the number of requests for which there is room.
func (r Room) Free() int { return max(r.Slots-r.Running-r.Refusing, 0) }

// freeShare returns the free part of the room.
func (r Room) freeShare() float64 { return float64(r.Free()) / float64(max(r.Slots, 1)) }

// SlotsByMemory returns how many requests a target runs at once, of which each needs some memory; the memory is not
// limited if it is 0.
func SlotsByMemory(slots int, memory, need float64) int {
	if memory <= 0 || need <= 0 {
		return slots
	}
	return min(slots, max(int(memory/need), 1))
}
