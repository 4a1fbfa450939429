package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against LOST: a worker that was idle vanishes right after it was given a task, before its next report, and the
// task is never started elsewhere because the lease was counted as expired while the run was only placed.
func TestTaskOfWorkerLostRightAfterStartRunsElsewhere(t *testing.T) {
	sim := newSimulation(11, 2)
	sim.appendTime = 50 * time.Millisecond // the owner's loop runs several times while the run is only placed
	sim.takeOver()
	sim.run(12 * time.Second) // leases that former owners may have granted have expired
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	for sim.running() == 0 {
		sim.run(simTick)
	}
	for id, s := range sim.workers {
		if len(s.running) > 0 {
			s.up = false
			delete(sim.workers, id)
		}
	}
	sim.run(maxLease + 4*time.Second)
	if running := sim.running(); running != 1 {
		t.Errorf("%d runs, want 1", running)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: an owner that is late goes on extending the lease of a worker that has vanished, so that its
// long-running task stays away for longer than allowed.
func TestTaskOfLostWorkerRunsElsewhereInTimeWhileOwnerIsLate(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		worst := time.Duration(0)
		for offset := range 20 {
			worst = max(worst, lostWorkerTime(delay, 300+20*offset))
		}
		if worst > restoreTime {
			t.Errorf("owner late by %v: the task was away for up to %v, want at most %v", delay, worst, restoreTime)
		}
	}
}

// lostWorkerTime returns how long a long-running task is away if its worker vanishes after a number of ticks.
func lostWorkerTime(delay time.Duration, ticks int) time.Duration {
	sim := newSimulation(11, 3)
	sim.takeOver()
	sim.run(12 * time.Second)
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	sim.owner.processor.loopDelay = delay
	sim.run(time.Duration(ticks) * simTick)
	for id, s := range sim.workers {
		if len(s.running) > 0 {
			s.up = false
			delete(sim.workers, id)
		}
	}
	lost := sim.now
	for sim.running() == 0 && sim.now < lost+time.Minute {
		sim.run(simTick)
	}
	return sim.now - lost
}

// Guards against LOST: the lease of a worker lapses while one run is started and another is only placed. The start order
// of the second run extends the lease or, with limited set, must not extend it; the worker is gone, and the second run stayed for ever.
func TestLeaseThatLapsesBesidePlacedRunExpiresAgain(t *testing.T) {
	for _, limited := range []bool{false, true} {
		testLeaseThatLapsesBesidePlacedRun(t, limited)
	}
}

func testLeaseThatLapsesBesidePlacedRun(t *testing.T, limited bool) {
	sim := newSimulation(14, 1)
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("a", spec)
	sim.run(2 * time.Second)
	sim.submit("b", spec)
	sim.now += simTick
	sim.runDueEvents()
	c.SetTime(sim.now, sim.wall())
	round := c.Plan()
	c.setLeaseLimit(noLeaseLimit)
	if limited {
		c.setLeaseLimit(sim.now)
	}
	silence := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; {
			sim.now += simTick
			c.SetTime(sim.now, sim.wall())
			c.Tick()
			for _, r := range c.TakeOrders(true).Renewals {
				c.RenewFailed(r.To.ID, errNoAnswer)
			}
		}
	}
	silence(9 * time.Second)
	for _, order := range c.RoundStored(round) {
		c.StartAnswered(order, workercall.Reply{}, errNoAnswer)
	}
	silence(time.Minute)
	if runs := len(c.workers["w0"].runs); runs > 0 {
		t.Errorf("limited %v: %d runs on a worker that has been silent for a minute, want 0", limited, runs)
	}
}

// Guards against a third run of a task: the end of a first run, which was given up with the lease of its worker, was acknowledged
// but not recorded because a second run was under way, and the worker of that one was lost.
func TestTaskIsDoneOnceFormerRunIsReportedAsDone(t *testing.T) {
	sim := newSimulation(15, 2)
	o := sim.takeOver()
	sim.run(time.Second)
	sim.submit("j", testSpec(1))
	for sim.running() == 0 {
		sim.run(simTick)
	}
	for _, s := range sim.workers {
		if len(s.running) > 0 {
			s.unreachableBy[o] = true
			sim.schedule(10*time.Second, func() { delete(s.unreachableBy, o) })
		}
	}
	sim.run(3 * time.Second)
	sim.taskRunTime = time.Minute
	sim.run(10 * time.Second)
	if starts := sim.startCounts[jobs.TaskID{Job: "j"}]; starts != 2 {
		t.Fatalf("%d starts while the first worker was out of reach, want 2", starts)
	}
	for id, s := range sim.workers {
		if len(s.running) > 0 {
			sim.restartWorker(id)
		}
	}
	sim.run(5 * time.Second)
	if state := sim.state("j"); state != jobs.Completed {
		t.Errorf("the job is %v, want it completed", state)
	}
	if starts := sim.startCounts[jobs.TaskID{Job: "j"}]; starts != 2 {
		t.Errorf("%d starts, want 2", starts)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: where workers accept leases of 10 s, the long-running tasks of a worker that was lost without a sign did not run
// for 10 s, although others had room.
func TestLeaseEndsInTimeForLongRunningTasksOfLostWorker(t *testing.T) {
	sim := newSimulation(5, 1)
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	c.SetSettings(Settings{MaxLease: 10 * time.Second, StatusRetention: time.Minute})
	w := c.workers["w0"]
	w.grantedUntil = 0
	w.updateClock(w.clockNow(c.now), c.now)
	c.extendLease(w)
	if expiresIn := w.leaseExpiresBy - c.now; expiresIn > 7*time.Second {
		t.Errorf("the lease expires in %v, want at most 7 s", expiresIn)
	}
}
