package cell

import (
	"time"

	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// simCallTimeout is how long an owner waits for the answer to an order, in addition to the wait of a renewal order.
	simCallTimeout = 1200 * time.Millisecond
	// simHop is the time for which an order or an answer is in transit.
	simHop = 5 * time.Millisecond
)

// simProcessor is the processor of an owner. It carries out one piece of work after the other, in the order in which
// they arrive.
type simProcessor struct {
	freeAt     time.Duration // when all queued work is done
	loopQueued bool          // an iteration of the owner's loop is queued
	loopDelay  time.Duration // how long the present iteration of the loop was queued
}

// process queues a piece of work on an owner's processor and calls do when it is done.
func (sim *simulation) process(o *simOwner, do func()) {
	o.processor.freeAt = max(o.processor.freeAt, sim.now) + sim.processorCost
	sim.schedule(o.processor.freeAt-sim.now, func() {
		if !o.ended && !o.suspended {
			do()
		}
	})
}

// scheduleOwner runs an iteration of an owner's loop, or queues it if processor time is simulated.
func (sim *simulation) scheduleOwner(o *simOwner) {
	switch {
	case sim.processorCost == 0:
		sim.runOwner(o)
	case !o.processor.loopQueued:
		o.processor.loopQueued = true
		queuedAt := sim.now
		sim.process(o, func() {
			o.processor.loopQueued, o.processor.loopDelay = false, sim.now-queuedAt
			sim.runOwner(o)
		})
	}
}

// callWithProcessor is call for an owner whose processor time is simulated: the owner spends time on sending the order
// and on reading the answer. An answer that it has not read within simCallTimeout counts as missing.
func (sim *simulation) callWithProcessor(o *simOwner, to workercall.Target, do func(*simWorker) func(), failed func(error)) {
	sim.process(o, func() {
		sent := sim.now
		s := sim.workers[to.ID]
		sim.schedule(simHop, func() {
			if s == nil || s != sim.workers[to.ID] || !s.up || s.unreachableBy[o] {
				sim.schedule(simCallTimeout, func() { sim.process(o, func() { sim.deliver(o, func() { failed(errNoAnswer) }) }) })
				return
			}
			answer := do(s)
			sim.schedule(simHop, func() {
				sim.process(o, func() {
					if sim.now-sent > simCallTimeout {
						answer = func() { failed(errNoAnswer) }
					}
					sim.deliver(o, answer)
				})
			})
		})
	})
}

// deliver calls f at the present time of the owner's cell.
func (sim *simulation) deliver(o *simOwner, f func()) {
	if !o.ended && !o.suspended {
		o.cell.SetTime(sim.now, sim.wall())
		f()
	}
}

// renewWithProcessor is a renewal order for an owner whose processor time is simulated. The worker answers when a run
// has ended that is not acknowledged, at the latest after the order's wait.
func (sim *simulation) renewWithProcessor(o *simOwner, order RenewOrder) {
	failed := func(err error) { sim.endIfFenced(o, o.cell.RenewFailed(order.To.ID, err)) }
	sim.process(o, func() {
		s := sim.workers[order.To.ID]
		if s == nil || !s.up || s.unreachableBy[o] {
			sim.schedule(simCallTimeout, func() { sim.process(o, func() { sim.deliver(o, func() { failed(errNoAnswer) }) }) })
			return
		}
		sent := sim.now
		sim.schedule(simHop, func() { sim.holdRenewal(o, s, order, sent) })
	})
}

// holdRenewal answers a renewal order that was sent at the given time once its wait is over.
func (sim *simulation) holdRenewal(o *simOwner, s *simWorker, order RenewOrder, sent time.Duration) {
	report, err := s.renew(order.Request)
	if err == nil && len(report.Ended) == 0 && sim.now < sent+simHop+order.Request.Wait {
		sim.schedule(simTick, func() { sim.holdRenewal(o, s, order, sent) })
		return
	}
	sim.schedule(simHop, func() {
		sim.process(o, func() {
			if err == nil && sim.now-sent > simCallTimeout+order.Request.Wait {
				err = errNoAnswer
			}
			sim.deliver(o, func() { sim.renewalAnswered(o, order, report, err) })
		})
	})
}

// renewalAnswered passes the result of a renewal order to the cell.
func (sim *simulation) renewalAnswered(o *simOwner, order RenewOrder, report workercall.Report, err error) {
	if err != nil {
		sim.endIfFenced(o, o.cell.RenewFailed(order.To.ID, err))
		return
	}
	o.cell.RenewAnswered(order.To.ID, report, order.CreatedAt)
}
