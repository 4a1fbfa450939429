package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against TWICE: a late report makes the lease on a worker seem to last longer than what is stated in the store. The next statement,
// which is not stored, names the later end, and the owner extends the lease until then.
func TestLeaseIsNotExtendedBeyondStoredStatementByOneThatIsNotStored(t *testing.T) {
	sim := newSimulation(5, 1)
	sim.takeOver()
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	sim.run(2 * time.Second)
	c, s := sim.owner.cell, sim.workers["w0"]
	start := sim.now
	at := func(d time.Duration) {
		sim.now = start + d
		c.SetTime(sim.now, sim.wall())
	}
	report := func(sent time.Duration, clock time.Duration) {
		answer, err := s.renew(workercall.RenewRequest{Token: sim.owner.token})
		if err != nil {
			t.Fatal(err)
		}
		answer.Clock = clock
		c.RenewAnswered("w0", answer, sent)
	}
	// renew has the owner send a renewal order, and returns when it was created and the clock of the worker then.
	renew := func() (sent, clock time.Duration) {
		orders := c.TakeOrders(false).Renewals
		if len(orders) != 1 {
			t.Fatalf("%d renewal orders are due, want 1", len(orders))
		}
		if expiry := orders[0].Request.LeaseExpiry; expiry > 0 {
			s.extend(expiry)
		}
		return orders[0].CreatedAt, s.clock()
	}
	const stated = 6900 * time.Millisecond
	at(0)
	report(sim.now, s.clock())
	sent, clock := renew()
	at(1300 * time.Millisecond) // the worker has not answered in time
	listed, _ := c.StateLeases(2, sim.now+stated)
	if len(listed) != 1 {
		t.Fatalf("%d workers are stated, want 1", len(listed))
	}
	end := sim.now + listed[0].Remaining
	c.LeasesStored(2, sim.now+stated)
	at(2500 * time.Millisecond)
	report(sent, clock) // late
	sent, clock = renew()
	at(3900 * time.Millisecond)
	c.StateLeases(3, sim.now+stated) // not stored
	report(sent, clock)
	sent, _ = renew()
	at(4 * time.Second)
	report(sent, s.clock())
	renew()
	if leaseEnd := sim.now + s.leaseEnd - s.clock(); leaseEnd > end {
		t.Errorf("the lease on the worker was extended until %v, and is stated to end at %v", leaseEnd-start, end-start)
	}
}

// Guards against TWICE: a worker comes from another cell, whose owner has just extended its lease, to an owner that may not extend leases
// as far, since its latest statements were not stored. That owner takes the lease for ended too soon.
func TestLeaseOfWorkerFromOtherCellIsWaitedFor(t *testing.T) {
	sim := newCellsSimulation(5, 2, 2)
	sim.run(15 * time.Second) // no leases of former owners are left
	s := sim.workers["w1"]
	giver, taker := sim.cells[1], sim.cells[0]
	s.leaseEnd = s.clock() + maxLease // by an order of the present owner, for a run that has ended
	granted := sim.now + maxLease
	if !sim.handOver(giver, "w1", 0, handOverCompletes) {
		t.Fatal("the worker is not idle")
	}
	sim.runUntil(func() bool { w := taker.owner.cell.workers["w1"]; return w != nil && w.tokenAccepted })
	w := taker.owner.cell.workers["w1"]
	taker.owner.cell.setLeaseLimit(sim.now + 4500*time.Millisecond)
	taker.owner.cell.extendLease(w) // as for a start
	if w.leaseEnd() < granted {
		t.Errorf("the owner takes the lease for ended %v early", granted-w.leaseEnd())
	}
}
