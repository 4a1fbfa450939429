package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// maxUnansweredStarts is the number of unanswered start orders from which on a worker gets no further ones, so that a few workers that
	// hang do not use up what overload.Controller allows in all.
	maxUnansweredStarts = 40
	// hangingAfter is how long a worker with an unanswered start order must have answered nothing to be taken to hang. Start orders are
	// usually answered within some 10 ms.
	hangingAfter = 400 * time.Millisecond
)

// startSent notes that a start order to the worker is unanswered.
func (w *worker) startSent(now time.Duration) {
	if w.unansweredStarts == 0 {
		w.lastSign = max(w.lastSign, now)
	}
	w.unansweredStarts++
}

// startSettled notes the answer of a worker to a start order, or that there is none.
func (c *Cell) startSettled(w *worker, err error) {
	w.unansweredStarts = max(0, w.unansweredStarts-1)
	switch verdict.ReasonOf(err) {
	case workercall.ReasonWithdrawn, workercall.ReasonUnreachable: // was not sent, or startFailed handles it
	case workercall.ReasonNoAnswer:
		w.silent = true
	default:
		c.noteSign(w)
	}
}

// noteSign notes that a worker has answered.
func (c *Cell) noteSign(w *worker) {
	c.needsPlacement = c.needsPlacement || w.silent
	w.lastSign, w.silent = c.now, false
}

// hangs reports whether a worker does not answer start orders, as far as is known. It gets no further ones until it answers again; the
// renewal orders to it go on. An owner that is short of processor time sees answers late and takes no worker to hang.
func (c *Cell) hangs(w *worker) bool {
	return w.silent || w.unansweredStarts > 0 && c.load.Rest() == 0 && c.now-w.lastSign >= hangingAfter
}
