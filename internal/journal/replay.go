package journal

import (
	"cactuswall.example/cactuswall/internal/platform"
)

// maxHeldDeliveries bounds the entries that wait for a snapshot.
const maxHeldDeliveries = 16384

// Replay says which entries of a stream may be applied. Behind a gap, or behind an entry that only a
// newer program can read, the state is incomplete: entries are held back until a snapshot covers what is
// missing. The zero value is not ready for use. Its methods are not safe for concurrent use.
type Replay struct {
	metrics *Metrics
	// applied is the offset up to which the state is complete.
	applied  platform.Offset
	complete bool
	// from is the first offset that a snapshot need not cover.
	from platform.Offset
	held []Delivery
}

// NewReplay returns the replay of a stream from its first entry on.
func NewReplay(metrics *Metrics) *Replay { return &Replay{metrics: metrics, complete: true} }

// Complete reports whether every entry up to Applied has been applied or is covered by a snapshot.
func (r *Replay) Complete() bool { return r.complete }

// Applied returns the offset up to which the state was complete last.
func (r *Replay) Applied() platform.Offset { return r.applied }

// Take returns the entry when it may be applied now, and holds it back otherwise.
func (r *Replay) Take(d Delivery) (Delivery, bool) {
	if d.Offset <= r.applied {
		return Delivery{}, false
	}
	if d.Gap || d.Newer {
		r.interrupt(d.Offset + 1)
		return Delivery{}, false
	}
	if r.complete {
		r.applied = d.Offset
		return d, true
	}
	r.hold(d)
	return Delivery{}, false
}

// interrupt marks the state as incomplete before an offset.
func (r *Replay) interrupt(from platform.Offset) {
	r.complete = false
	r.from = from
	r.held = nil
}

func (r *Replay) hold(d Delivery) {
	if len(r.held) == maxHeldDeliveries {
		r.metrics.HeldDropped.Inc()
		r.from = r.held[0].Offset + 1
		r.held = r.held[1:]
	}
	r.held = append(r.held, d)
}

// Fits reports whether a snapshot of the state after the entry at an offset would complete the state.
func (r *Replay) Fits(at platform.Offset) bool {
	return !r.complete && at >= r.applied && at+1 >= r.from
}

// Restored tells that the state is now that of a snapshot which fits. It returns the entries to apply
// on top of it, in order.
func (r *Replay) Restored(at platform.Offset) []Delivery {
	r.complete = true
	r.applied = at
	var rest []Delivery
	for _, d := range r.held {
		if d.Offset > at {
			rest = append(rest, d)
			r.applied = d.Offset
		}
	}
	r.held = nil
	return rest
}

// Start sets a state that was restored before the first entry was read.
func (r *Replay) Start(at platform.Offset) { r.applied = max(r.applied, at) }
