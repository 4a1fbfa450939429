package cellnode

import (
	"context"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
)

// successor waits until the node owns cell 0 by another owner than the given one, and returns it.
func successor(t *testing.T, n *Node, former *owner) *owner {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if o := n.membership(0).owner.Load(); o != nil && o != former && o.isLoaded() {
			return o
		}
	}
	t.Fatal("the cell has no new owner")
	return nil
}

// panics returns the number of panics that the node has counted for some work.
func panics(n *Node, work string) uint64 {
	return n.metrics.GetOrCreateCounter(`cactuswall_panics_total{work="` + work + `"}`).Get()
}

// An unexpected error in the code of an owner took the whole process down, and with it the requests of its callers.
func TestPanicEndsTheOwnerAndNotTheProcess(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	o := n.membership(0).owner.Load()
	o.post(context.Background(), func() { panic("unexpected") })
	next := successor(t, n, o)
	if next.epoch <= o.epoch {
		t.Errorf("epoch %d after %d", next.epoch, o.epoch)
	}
	if count := panics(n, "event loop"); count != 1 {
		t.Errorf("%d panics counted, want 1", count)
	}
	if _, ok := next.status("0123456789abcdef"); !ok {
		t.Error("the next owner does not answer questions")
	}
	next.queueOrder(context.Background(), "w", func() { panic("unexpected answer") })
	began := boottime.Now()
	successor(t, n, next)
	if rested := boottime.Now() - began; rested < panicRest {
		t.Errorf("claimed again %v after the second panic, want at least %v", rested, panicRest)
	}
}

func TestPanicWhileReadingAReportEndsTheOwnerOnly(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	o := n.membership(0).owner.Load()
	o.spawn("renew", func() { panic("malformed report") })
	successor(t, n, o)
}

func TestComponentRunsAgainAfterAPanic(t *testing.T) {
	d := newTestCluster(t, 1)
	n := d.nodes[0].node
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runs := 0
	err := n.restarting("component", func(context.Context) error {
		if runs++; runs == 1 {
			panic("unexpected")
		}
		cancel()
		return ctx.Err()
	})(ctx)
	if runs != 2 || err == nil || !strings.Contains(err.Error(), "canceled") || panics(n, "component") != 1 {
		t.Errorf("%d runs, error %v, %d panics counted", runs, err, panics(n, "component"))
	}
}
