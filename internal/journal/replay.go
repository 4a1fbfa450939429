package journal

import (
	"cactuswall.example/cactuswall/internal/platform"
)

// maxHeldDeliveries is the maximum number of entries that are held until a snapshot arrives.
const maxHeldDeliveries = 16384

// Replay determines which entries of a stream may be applied to the state. After a gap, or after an entry
// that only a newer program can read, the state is incomplete, and later entries are held until a snapshot
// covers the missing ones. Use NewReplay to create a Replay. Its methods are not safe for concurrent use.
type Replay struct {
	metrics *Metrics
	// applied is the offset up to which the state is complete.
	applied  platform.Offset
	complete bool
	// heldFrom is the first offset that a snapshot does not have to cover, since the entries from it on are
	// held.
	heldFrom platform.Offset
	held     []Delivery
}

// NewReplay returns a Replay that starts at the first entry of a stream.
func NewReplay(metrics *Metrics) *Replay { return &Replay{metrics: metrics, complete: true} }

// Complete reports whether every entry up to Applied has been applied or is covered by a snapshot.
func (r *Replay) Complete() bool { return r.complete }

// Applied returns the highest offset up to which the state has been complete.
func (r *Replay) Applied() platform.Offset { return r.applied }

// Admit returns the entry and true if it may be applied now. Otherwise it holds the entry, or discards it if
// it was already applied or cannot be applied.
func (r *Replay) Admit(d Delivery) (Delivery, bool) {
	if d.Offset <= r.applied {
		return Delivery{}, false
	}
	if d.Gap || d.NewerSchema {
		r.markIncomplete(d.Offset + 1)
		return Delivery{}, false
	}
	if r.complete {
		r.applied = d.Offset
		return d, true
	}
	r.hold(d)
	return Delivery{}, false
}

// markIncomplete marks the state as incomplete until a snapshot covers all entries before from.
func (r *Replay) markIncomplete(from platform.Offset) {
	r.complete = false
	r.heldFrom = from
	r.held = nil
}

func (r *Replay) hold(d Delivery) {
	if len(r.held) == maxHeldDeliveries {
		r.metrics.HeldEntriesDropped.Inc()
		r.heldFrom = r.held[0].Offset + 1
		r.held = r.held[1:]
	}
	r.held = append(r.held, d)
}

// CompletedBy reports whether a snapshot of the state that includes all entries up to the offset at would make
// the state complete.
func (r *Replay) CompletedBy(at platform.Offset) bool {
	return !r.complete && at >= r.applied && at+1 >= r.heldFrom
}

// SnapshotRestored records that the state was restored from a snapshot for which CompletedBy returned true. It
// returns the held entries to apply to that state, in order.
func (r *Replay) SnapshotRestored(at platform.Offset) []Delivery {
	r.complete = true
	r.applied = at
	var remaining []Delivery
	for _, d := range r.held {
		if d.Offset > at {
			remaining = append(remaining, d)
			r.applied = d.Offset
		}
	}
	r.held = nil
	return remaining
}

// SetApplied records that the state up to offset at was restored before the first entry is read.
func (r *Replay) SetApplied(at platform.Offset) { r.applied = max(r.applied, at) }
