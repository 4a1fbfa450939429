package cellnode

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// send sends orders without waiting for the replies. Renewal orders are sent at once, all others through the queue of
// their worker.
func (o *owner) send(ctx context.Context, orders cell.Orders) {
	for _, order := range orders.Renewals {
		o.spawn("renew", func() {
			report, err := o.node.platform.Workers.Renew(ctx, order.To, order.Request)
			o.post(ctx, func() { o.renewAnswered(order, report, err) })
		})
	}
	o.sendStarts(ctx, orders.Starts)
	for _, order := range orders.Stops {
		o.queueOrder(ctx, order.To.ID, func() {
			err := errWithdrawn
			if o.member.mayDecide(o.epoch) {
				_, err = o.node.platform.Workers.Stop(ctx, order.To, order.Run, order.Token)
			}
			o.post(ctx, func() { o.fenced = o.cell.StopAnswered(order, err) || o.fenced })
		})
	}
	for _, order := range orders.Paces {
		o.queueOrder(ctx, order.To.ID, func() {
			err := errWithdrawn
			if o.member.mayDecide(o.epoch) {
				_, err = o.node.platform.Workers.SetPace(ctx, order.To, order.Run, order.Percent, order.Token)
			}
			o.post(ctx, func() { o.fenced = o.cell.PaceAnswered(order, err) || o.fenced })
		})
	}
}

// queueOrder has an order sent to a worker after those that wait for it.
func (o *owner) queueOrder(ctx context.Context, worker string, order func()) {
	o.orderQueues.send(ctx, worker, o.protected("order", order))
}

// renewAnswered passes the reply to a renewal order to the cell.
func (o *owner) renewAnswered(order cell.RenewOrder, report workercall.Report, err error) {
	if err != nil {
		o.fenced = o.cell.RenewFailed(order.To.ID, err) || o.fenced
		return
	}
	o.cell.RenewAnswered(order.To.ID, report, order.CreatedAt)
}

// sendStarts queues start orders. When an order's turn comes, it is sent only if the cell still needs it.
func (o *owner) sendStarts(ctx context.Context, starts []cell.StartOrder) {
	o.startsInFlight.Add(int64(len(starts)))
	for _, order := range starts {
		o.queueOrder(ctx, order.To.ID, func() {
			var answer workercall.Reply
			err := errWithdrawn
			if o.startStillNeeded(order) {
				answer, err = o.node.platform.Workers.Start(ctx, order.To, order.Start)
			}
			o.startsInFlight.Add(-1)
			o.post(ctx, func() { o.fenced = o.cell.StartAnswered(order, answer, err) || o.fenced })
		})
	}
}

// errWithdrawn is the result of an order that was not sent because, when its turn came, the run was no longer needed or
// the claim did not permit the order any more.
var errWithdrawn error = verdict.New(verdict.NotRun, workercall.ReasonWithdrawn, nil)

// startStillNeeded reports whether a start order should still be sent after it was queued behind other orders to its
// worker, or after the process was suspended.
func (o *owner) startStillNeeded(order cell.StartOrder) bool {
	if !o.member.mayDecide(o.epoch) {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.setEvacuations()
	return o.cell.StartStillNeeded(order)
}
