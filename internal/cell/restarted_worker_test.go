package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Guards against TWICE: a start order reaches the next incarnation of a worker, which has the same ID, before the owner
// learns of the restart. The task was started elsewhere although that incarnation ran it.
func TestStartOrderInTransitToRestartedWorker(t *testing.T) {
	for seed := range uint64(8) { // the clocks of the two incarnations differ by the seed
		for ticks := range 6 {
			restartWorkerWhileStarting(t, seed, ticks)
		}
	}
}

// restartWorkerWhileStarting restarts a worker the given number of ticks after a job was submitted.
func restartWorkerWhileStarting(t *testing.T, seed uint64, ticks int) {
	sim := newSimulation(seed, 3)
	sim.taskRunTime = 20 * time.Second
	sim.takeOver()
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(9))
	sim.run(time.Duration(ticks) * simTick)
	sim.restartWorker("w0")
	sim.run(5 * time.Second)
	if running := sim.running(); running != 9 {
		t.Errorf("seed %d, restart after %d ticks: %d runs, want 9", seed, ticks, running)
	}
	for _, violation := range sim.violations {
		t.Errorf("seed %d, restart after %d ticks: %s", seed, ticks, violation)
	}
}

// Guards against TWICE: a start order that was not answered reaches the next incarnation of the worker, after the owner
// has given up on the answer and learned of the restart.
func TestUnansweredStartOrderReachesRestartedWorker(t *testing.T) {
	for delay := 50 * time.Millisecond; delay <= 3*time.Second; delay += 50 * time.Millisecond {
		sim := newSimulation(3, 3)
		sim.taskRunTime = 40 * time.Second
		sim.takeOver()
		sim.run(12 * time.Second)
		sim.submit("j", testSpec(1))
		r := sim.placeOneRun()
		sim.delayRate = 1 // the start order gets no answer
		for r.state == runPlaced {
			sim.now += simTick
			sim.runDueEvents()
		}
		sim.delayRate = 0
		id := r.worker.info.ID
		order := workercall.Start{
			Run: workercall.Run{Task: jobs.TaskID{Job: "j"}, Number: r.number}, LeaseExpiry: sim.workers[id].clock() + maxLease, Token: sim.owner.token,
		}
		sim.run(delay)
		sim.restartWorker(id)
		sim.run(400 * time.Millisecond)
		_, _ = sim.workers[id].start(order) // may be refused
		sim.run(3 * time.Second)
		for _, violation := range sim.violations {
			t.Errorf("restart %v after the order: %s", delay, violation)
		}
		if running := sim.running(); running != 1 {
			t.Errorf("restart %v after the order: %d runs, want 1", delay, running)
		}
	}
}

// placeOneRun runs the simulation until the owner has placed a run, and returns it.
func (sim *simulation) placeOneRun() *run {
	for {
		sim.now += simTick
		sim.runDueEvents()
		sim.runOwner(sim.owner)
		for _, w := range sim.owner.cell.workers {
			for _, r := range w.runs {
				return r
			}
		}
	}
}

// Guards against TWICE: the first report of a restarted worker does not rule out that this owner's own start order, which
// was not answered, takes effect there.
func TestFirstReportDoesNotRuleOutOwnStartOrder(t *testing.T) {
	sim := newSimulation(3, 1)
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(1))
	sim.now += simTick
	sim.runDueEvents()
	c.SetTime(sim.now, sim.wall())
	starts := c.RoundStored(c.Plan())
	w := c.workers["w0"]
	w.renewalInFlight = true // sent to the former incarnation
	sim.restartWorker("w0")
	c.SetWorkers(sim.currentWorkers())
	c.SetTime(sim.now+1200*time.Millisecond, sim.wall())
	c.StartAnswered(starts[0], workercall.Reply{}, errNoAnswer)
	c.SetTime(sim.now+1500*time.Millisecond, sim.wall())
	c.RenewFailed("w0", errNoAnswer)
	report, err := sim.workers["w0"].renew(workercall.RenewRequest{Token: c.epoch})
	if err != nil {
		t.Fatal(err)
	}
	c.SetTime(sim.now+1800*time.Millisecond, sim.wall())
	c.RenewAnswered("w0", report, sim.now+1800*time.Millisecond)
	if len(w.runs) != 1 {
		t.Error("the run was abandoned although its start order may still take effect")
	}
	c.TakeOrders(true) // decides to stop the run
	if orders := c.TakeOrders(true); len(orders.Stops) != 1 || len(orders.Starts) != 0 {
		t.Errorf("%d stop and %d start orders, want one stop order", len(orders.Stops), len(orders.Starts))
	}
}

// Guards against TWICE: a start order was answered by the next incarnation of the worker before the owner learned of the
// restart. The run was taken for one of the former incarnation and started elsewhere.
func TestStartOrderAnsweredByRestartedWorker(t *testing.T) {
	sim := newSimulation(3, 2)
	sim.taskRunTime = 20 * time.Second
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(1))
	sim.now += simTick
	sim.runDueEvents()
	c.SetTime(sim.now, sim.wall())
	starts := c.RoundStored(c.Plan())
	id := starts[0].To.ID
	sim.restartWorker(id)
	order := starts[0].Start
	order.LeaseExpiry = sim.workers[id].clock() + maxLease
	reply, err := sim.workers[id].start(order)
	if err != nil {
		t.Fatal(err)
	}
	reply.StartedAtMS = 0 // workers say it in their reports only
	c.StartAnswered(starts[0], reply, nil)
	c.SetWorkers(sim.currentWorkers())
	sim.run(3 * time.Second)
	if len(c.workers[id].runs) != 1 || sim.running() != 1 {
		t.Errorf("the worker has %d runs and %d run in all, want 1 and 1", len(c.workers[id].runs), sim.running())
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: stop orders for a run that may have been started are repeated while the worker's report, which waits for
// the end of a run, is under way. Each answer made the report too old to show that the run is not there, so that the task waited
// until anything ended on that worker.
func TestRepeatedStopOrdersDoNotMakeReportsTooOld(t *testing.T) {
	sim := newSimulation(3, 1)
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(1))
	sim.now += simTick
	sim.runDueEvents()
	c.SetTime(sim.now, sim.wall())
	starts := c.RoundStored(c.Plan())
	w := c.workers["w0"]
	sim.restartWorker("w0")
	c.StartAnswered(starts[0], workercall.Reply{}, errNoAnswer)
	c.SetWorkers(sim.currentWorkers())
	w.renewalInFlight = true // no report so far
	stopped := 0
	for range 3 { // a report is on its way for 0.8 s, stop orders are repeated meanwhile
		sent := c.now
		for range 8 {
			sim.now += 100 * time.Millisecond
			c.SetTime(sim.now, sim.wall())
			for _, order := range c.TakeOrders(true).Stops {
				stopped++
				c.StopAnswered(order, nil)
			}
		}
		report, err := sim.workers["w0"].renew(workercall.RenewRequest{Token: c.epoch})
		if err != nil {
			t.Fatal(err)
		}
		c.RenewAnswered("w0", report, sent)
		w.renewalInFlight = true
	}
	if stopped < 2 || len(w.runs) != 0 {
		t.Errorf("%d stop orders were answered and %d runs are left, want several and none", stopped, len(w.runs))
	}
}

// Guards against LOST and TWICE: the first renewal order that reached a restarted worker acknowledged the ends of its former
// incarnation. Ends with these numbers were forgotten before they were read, and the tasks ran again.
func TestRestartedWorkerForgetsNoEndsThatWereNotRead(t *testing.T) {
	for seed := range uint64(6) {
		restartWorkerAfterEnds(t, seed, 8*time.Second) // all ends are acknowledged
	}
	for after := 400 * time.Millisecond; after < 1500*time.Millisecond; after += 20 * time.Millisecond {
		restartWorkerAfterEnds(t, 1, after)
	}
}

// restartWorkerAfterEnds restarts the only worker the given time after a job was submitted, submits another job and checks that
// each of its tasks runs once.
func restartWorkerAfterEnds(t *testing.T, seed uint64, after time.Duration) {
	sim := newSimulation(seed, 1)
	sim.entryLag = 2 * time.Second
	sim.takeOver()
	sim.run(time.Second)
	sim.submit("before", testSpec(40))
	sim.run(after)
	sim.workers["w0"].up = false
	sim.cancel("before")
	sim.run(time.Second)
	sim.restartWorker("w0")
	sim.run(3 * time.Second)
	sim.submit("after", testSpec(4))
	sim.run(5 * time.Second)
	if state := sim.state("after"); state != jobs.Completed {
		t.Errorf("seed %d, %v: the job is %v", seed, after, state)
	}
	for task, starts := range sim.startCounts {
		if task.Job == "after" && starts != 1 {
			t.Errorf("seed %d, %v: %v was started %d times", seed, after, task, starts)
		}
	}
}

// Guards against ROUTE: a worker that had started again as one of another kind got tasks by the labels of its former
// incarnation until its new entry was read.
func TestRestartedWorkerOfAnotherKindGetsNoTasksByFormerEntry(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(seed, 6)
		sim.entryLag = 2 * time.Second
		sim.takeOver()
		sim.run(time.Second)
		spec := testSpec(20)
		spec.Steps[0].RequiredLabel = "a"
		for i := range 5 {
			id := fmt.Sprintf("w%d", i)
			for k := range 10 {
				sim.submit(jobs.ID(fmt.Sprintf("j%d-%d", i, k)), spec)
			}
			sim.run(time.Second)
			sim.workers[id].up = false
			sim.run(time.Second)
			sim.restartWorker(id)
			sim.workers[id].info.Labels = []string{"b", "r1"}
			sim.run(4 * time.Second)
		}
		for _, violation := range sim.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		other := testSpec(1)
		other.Steps[0].RequiredLabel = "b"
		sim.submit("other", other)
		sim.run(4 * time.Second)
		if state := sim.state("other"); state != jobs.Completed {
			t.Errorf("seed %d: a job for the new kind is %v", seed, state)
		}
	}
}

// Guards against LOST: a start order for a former incarnation was refused after the owner had learned of the next one, and the owner
// took the next one for ended and placed nothing on it.
func TestRefusalForFormerIncarnationDoesNotEndTheNext(t *testing.T) {
	sim := newSimulation(3, 1)
	c := sim.takeOver().cell
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(1))
	sim.now += simTick
	sim.runDueEvents()
	c.SetTime(sim.now, sim.wall())
	starts := c.RoundStored(c.Plan())
	sim.restartWorker("w0")
	c.SetWorkers(sim.currentWorkers())
	c.StartAnswered(starts[0], workercall.Reply{}, verdict.New(verdict.NotRun, workercall.ReasonWorkerRestarted, nil))
	w := c.workers["w0"]
	if w.dead || len(w.runs) != 0 {
		t.Errorf("dead %v with %d runs, want the next incarnation alive and without the refused run", w.dead, len(w.runs))
	}
}
