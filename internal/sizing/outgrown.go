package sizing

import "cactuswall.example/cactuswall/internal/units"

// Action is what is done about a run that has outgrown its reservation.
type Action int

// The actions, the mildest first.
const (
	Leave Action = iota
	// Grow raises the reservation.
	Grow
	// Throttle holds the run to its reservation.
	Throttle
	// Move checkpoints the run, stops it and places it again.
	Move
)

// Remedy is an action with the reservation that the run needs.
type Remedy struct {
	Action Action
	Size   units.Resources
}

// Outgrown decides about a run. room is what is left of the worker beside the reservation. A run that
// takes too many processors can be throttled; one that takes too much memory has to move.
func Outgrown(usage, reserved, room units.Resources, throttled bool) Remedy {
	limit := reserved.Times(outgrownPercent).DividedBy(100)
	processors := usage.MilliProcessors > limit.MilliProcessors
	memory := usage.MemoryMiB > limit.MemoryMiB
	if !processors && !memory {
		return Remedy{Action: Leave, Size: reserved}
	}
	wanted := usage.Times(100 + runMarginPercent).DividedBy(100)
	wanted.Accelerators = reserved.Accelerators
	wanted = Max(wanted, reserved)
	extra := wanted.Sub(reserved)
	switch {
	case extra.Fits(room):
		return Remedy{Action: Grow, Size: wanted}
	case memory && usage.MemoryMiB > reserved.MemoryMiB:
		return Remedy{Action: Move, Size: wanted}
	case processors && usage.MilliProcessors > reserved.MilliProcessors && !throttled:
		return Remedy{Action: Throttle, Size: reserved}
	default:
		return Remedy{Action: Leave, Size: reserved}
	}
}
