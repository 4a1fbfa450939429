package cellnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

// countingWorkers counts the orders that were sent.
type countingWorkers struct {
	Workers
	starts, stops, paces atomic.Int32
}

func (w *countingWorkers) Start(context.Context, workercall.Target, workercall.Start) (workercall.Reply, error) {
	w.starts.Add(1)
	return workercall.Reply{}, nil
}

func (w *countingWorkers) Stop(context.Context, workercall.Target, workercall.Run, int64) (workercall.Reply, error) {
	w.stops.Add(1)
	return workercall.Reply{}, nil
}

func (w *countingWorkers) SetPace(context.Context, workercall.Target, workercall.Run, int, int64) (workercall.Reply, error) {
	w.paces.Add(1)
	return workercall.Reply{}, nil
}

// A process that was suspended between a decision and its order sent the order although its claim had expired meanwhile.
func TestOrdersAreNotSentAfterTheClaimHasExpired(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	o := n.membership(0).owner.Load()
	workers := &countingWorkers{Workers: n.platform.Workers}
	expired := newOwner(n.membership(0), o.epoch-1, waitUntil(0), 1) // an owner under a claim that has ended
	expired.node = &Node{platform: Platform{Workers: workers}, counts: n.counts}
	order := cell.StartOrder{To: workercall.Target{ID: "w"}, Start: workercall.Start{Run: workercall.Run{Task: jobs.TaskID{Job: "j"}, Number: 1}}}
	expired.send(context.Background(), cell.Orders{
		Starts: []cell.StartOrder{order}, Stops: []cell.StopOrder{{To: order.To, Run: order.Start.Run}}, Paces: []cell.PaceOrder{{To: order.To, Run: order.Start.Run}},
	})
	time.Sleep(300 * time.Millisecond)
	if starts, stops, paces := workers.starts.Load(), workers.stops.Load(), workers.paces.Load(); starts+stops+paces > 0 {
		t.Errorf("%d starts, %d stops and %d paces were sent after the claim had ended", starts, stops, paces)
	}
}

// A process that was suspended while it handed a worker over stored the assignment after another owner had taken the cell over.
func TestFormerOwnerStoresNoAssignments(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	former := newOwner(n.membership(0), n.membership(0).owner.Load().epoch-1, waitUntil(0), 1)
	former.assignments = n.newAppender(cellsPartition, former.producer(), former.epoch)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = former.assignments.Run(ctx) }() // ends with the context
	if former.storeAssignments(ctx, []assignmentRecord{{cellmap.WorkerKey("w"), &cellmap.Assignment{Cell: 1}}}) {
		t.Error("the assignment was stored")
	}
	select {
	case e := <-former.events:
		e.run()
	case <-time.After(time.Second):
	}
	if !former.fenced {
		t.Error("the former owner goes on")
	}
	if err := n.cells.catchUp(ctx); err != nil {
		t.Fatal(err)
	}
	if cell, _ := n.cells.table().CellOf(&workercall.Worker{ID: "w"}); cell != 0 {
		t.Errorf("the worker belongs to cell %d", cell)
	}
}
