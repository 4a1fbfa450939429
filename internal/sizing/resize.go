package sizing

import "cactuswall.example/cactuswall/internal/units"

// Action is the response to a run that has outgrown its reservation.
type Action int

// The actions, in order of increasing impact.
const (
	// KeepReservation changes nothing.
	KeepReservation Action = iota
	// Grow raises the reservation.
	Grow
	// Throttle limits the run to its reservation.
	Throttle
	// Move checkpoints and stops the run and places it again.
	Move
)

// ResizeDecision is an action together with a reservation: for Grow and Move the larger one that the run
// needs, otherwise the current one.
type ResizeDecision struct {
	Action Action
	Size   units.Resources
}

// DecideResize chooses the response to a run's current usage. available is the unreserved capacity of the
// worker; throttled reports whether the run is already throttled. If the larger reservation does not fit, a
// run that exceeds its processors can be throttled, while one that exceeds its memory has to move.
func DecideResize(usage, reserved, available units.Resources, throttled bool) ResizeDecision {
	threshold := reserved.Times(overuseThresholdPercent).DividedBy(100)
	overProcessors := usage.MilliProcessors > threshold.MilliProcessors
	overMemory := usage.MemoryMiB > threshold.MemoryMiB
	if !overProcessors && !overMemory {
		return ResizeDecision{Action: KeepReservation, Size: reserved}
	}
	needed := usage.Times(100 + singleRunMarginPercent).DividedBy(100)
	needed.Accelerators = reserved.Accelerators
	needed = Max(needed, reserved)
	extra := needed.Sub(reserved)
	switch {
	case extra.Fits(available):
		return ResizeDecision{Action: Grow, Size: needed}
	case overMemory && usage.MemoryMiB > reserved.MemoryMiB:
		return ResizeDecision{Action: Move, Size: needed}
	case overProcessors && usage.MilliProcessors > reserved.MilliProcessors && !throttled:
		return ResizeDecision{Action: Throttle, Size: reserved}
	default:
		return ResizeDecision{Action: KeepReservation, Size: reserved}
	}
}
