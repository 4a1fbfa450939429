package cell

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/urgency"
)

// TestIndexesMatchState compares, at each step of random simulations with faults, takeovers and cancellations, what the
// cell keeps up to date with each change to what a computation from scratch returns.
func TestIndexesMatchState(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 4)
			sim.delayRate, sim.lossRate, sim.failRate = 0.03, 0.03, 0.1
			sim.statusRetention = 3 * time.Second
			sim.takeOver()
			for step := range 3000 {
				sim.disturb(step)
				sim.run(simTick)
				for _, o := range append([]*simOwner{sim.owner}, sim.formerOwners...) {
					checkIndexes(t, o.cell, step%5 == 0)
				}
				for _, violation := range sim.nextStepViolations {
					t.Error(violation)
				}
				if t.Failed() {
					t.Fatalf("step %d, time %v", step, sim.now)
				}
			}
		})
	}
}

// disturb submits jobs of all kinds and, at random, cancels one, restarts a worker or replaces the owner.
func (sim *simulation) disturb(step int) {
	if step%20 == 0 && step < 2000 {
		sim.submit(jobs.ID(fmt.Sprintf("%016x", step+1)), sim.randomSpec())
	}
	switch n := sim.random.IntN(4000); {
	case n < 20:
		sim.cancel(jobs.ID(fmt.Sprintf("%016x", step/20*20-200+1)))
	case n < 26:
		sim.restartWorker(fmt.Sprintf("w%d", sim.random.IntN(4)))
	case n < 30:
		worker := sim.workers[fmt.Sprintf("w%d", sim.random.IntN(4))]
		worker.failsTasks = !worker.failsTasks
	case n < 34:
		worker := sim.workers[fmt.Sprintf("w%d", sim.random.IntN(4))]
		worker.info.Draining = !worker.info.Draining
	case n < 38:
		worker := sim.workers[fmt.Sprintf("w%d", sim.random.IntN(4))]
		worker.up = !worker.up
	case n < 40:
		sim.takeOver()
	}
}

func (sim *simulation) randomSpec() jobs.Spec {
	step := jobs.Step{
		Count: 1 + sim.random.IntN(5), Estimate: time.Second, Image: fmt.Sprint("i", sim.random.IntN(3)),
		Request: jobs.Resources{MilliCPU: 500 * (1 + sim.random.IntN(3)), MemoryMB: 500},
	}
	switch sim.random.IntN(8) {
	case 0:
		step.Gang = true
	case 1:
		step.LongRunning, step.Count = true, 1
		step.TargetTailLatency = 20 * time.Millisecond
	case 2, 3:
		step.BestEffort = true
	case 4:
		step.MaxPerWorker = 1
	}
	spec := jobs.Spec{Steps: []jobs.Step{step}}
	if sim.random.IntN(2) == 0 {
		second := jobs.Step{Count: 2, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 500}, Estimate: time.Second, DependsOn: []int{0}}
		spec.Steps = append(spec.Steps, second)
	}
	if sim.random.IntN(6) == 0 && !step.LongRunning {
		spec.OccurrenceCount, spec.StartAt, spec.Interval = 3, sim.wall().Add(time.Second), 2*time.Second
	}
	return spec
}

// checkIndexes checks the indexes of a cell. sorted is set if the order of the waiting groups is checked as well, which
// has the cell sort them.
func checkIndexes(t *testing.T, c *Cell, sorted bool) {
	t.Helper()
	for _, w := range c.workers {
		checkWorkerRuns(t, c, w)
	}
	checkDue(t, c)
	checkJobs(t, c)
	expected := expectedWaiting(t, c)
	for _, g := range expected {
		if !slices.Contains(c.waiting, g) {
			t.Errorf("group %v is missing from the waiting groups", g.id)
		}
	}
	if sorted && !slices.Equal(c.sortWaiting(), expected) {
		t.Errorf("%d groups wait; %d were expected, or another order", len(c.waiting), len(expected))
	}
}

// expectedWaiting returns the groups that a walk through all groups finds to be waiting, in the order of a stable sort of
// the groups in the order of their creation. It checks the number of tasks to start of each group.
func expectedWaiting(t *testing.T, c *Cell) (expected []*group) {
	t.Helper()
	for _, j := range c.jobs {
		for _, g := range j.groups {
			toStart := 0
			for _, task := range g.tasks {
				if task.needsRun() {
					toStart++
				}
			}
			if g.toStart != toStart {
				t.Errorf("group %v: %d tasks to start, counted %d", g.id, g.toStart, toStart)
			}
			if g.ready && toStart > 0 && j.live() {
				expected = append(expected, g)
			}
		}
	}
	sort.Slice(expected, func(i, j int) bool { return expected[i].sequence < expected[j].sequence })
	sort.SliceStable(expected, func(i, j int) bool {
		a, b := c.urgencyItem(expected[i], c.scarce()), c.urgencyItem(expected[j], c.scarce())
		return urgency.Before(&a, &b)
	})
	return expected
}

// checkDue compares the queue of due workers to a walk through all workers.
func checkDue(t *testing.T, c *Cell) {
	t.Helper()
	next := c.now + idleRenewInterval
	orders, leases, unstored := c.due.ordersDue(c.now), c.due.leasesDue(c.now), c.due.unstoredEnds()
	unstoredCount := 0
	for _, w := range c.sortedWorkers() {
		if w.renewable() && !w.renewalInFlight {
			next = min(next, w.nextRenewal)
		}
		if len(w.runs) > 0 {
			next = min(next, max(w.leaseExpiresBy, c.now+failedRenewInterval))
		}
		if w.hasUnstoredEnds() {
			unstoredCount++
		}
		renewalDue := w.renewable() && !w.renewalInFlight && c.now >= w.nextRenewal
		if (renewalDue || len(w.unknownRuns) > 0 || len(w.unresolvedRuns()) > 0 || w.pacingPending) && !slices.Contains(orders, w) {
			t.Errorf("worker %s: orders are due, but not found", w.info.ID)
		}
		if (len(w.runs) > 0 && c.now >= w.leaseExpiresBy || !w.listed && len(w.runs) == 0) && !slices.Contains(leases, w) {
			t.Errorf("worker %s: the lease has expired, or it has to be removed, but is not found", w.info.ID)
		}
		if w.hasUnstoredEnds() != slices.Contains(unstored, w) {
			t.Errorf("worker %s: ends unstored %v, found %v", w.info.ID, w.hasUnstoredEnds(), !w.hasUnstoredEnds())
		}
	}
	if c.nextRetry != 0 {
		next = min(next, c.nextRetry)
	}
	if len(unstored) != unstoredCount || c.NextDue() != next {
		t.Errorf("next due %v instead of %v, %d workers with unstored ends instead of %d", c.NextDue(), next, len(unstored), unstoredCount)
	}
	byID := func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) }
	if !slices.IsSortedFunc(orders, byID) || !slices.IsSortedFunc(leases, byID) {
		t.Errorf("due workers are not sorted by ID")
	}
}

// checkJobs checks the ended jobs and the time of the next occurrence.
func checkJobs(t *testing.T, c *Cell) {
	t.Helper()
	endStored := 0
	for _, j := range c.jobs {
		if j.endStored {
			endStored++
			if !j.ended || !c.endedJobs.Has(j) {
				t.Errorf("job %s is missing from the ended jobs", j.id)
			}
		}
	}
	if endStored != c.endedJobs.Len() {
		t.Errorf("%d ended jobs instead of %d", c.endedJobs.Len(), endStored)
	}
	for _, j := range c.unopenedJobs {
		if due := j.record.Spec.DueAt(j.nextToOpen); j.live() && !j.heldBack && due.Before(c.nextOccurrence) {
			t.Errorf("job %s is due at %v, the next occurrence at %v", j.id, due, c.nextOccurrence)
		}
	}
}

func checkWorkerRuns(t *testing.T, c *Cell, w *worker) {
	t.Helper()
	var reserved jobs.Resources
	expectedCPU := 0
	for _, r := range w.runs {
		reserved = reserved.Add(r.task.group.step.Requested())
		expectedCPU += r.expectedCPU()
		if step := r.task.group.step; slices.Contains(w.services, r) != (step.TargetTailLatency > 0) || slices.Contains(w.bestEffort, r) != step.BestEffort {
			t.Errorf("worker %s: run %v is wrongly in or missing from services or bestEffort", w.info.ID, r.key())
		}
		if r.unresolved() && !w.mayHaveUnresolved {
			t.Errorf("worker %s: run %v is unresolved, but mayHaveUnresolved is not set", w.info.ID, r.key())
		}
	}
	for _, runs := range [][]*run{w.services, w.bestEffort} {
		for i, r := range runs {
			if w.runs[r.key()] != r || i > 0 && !lessRun(runs[i-1], r) {
				t.Errorf("worker %s: run %v is not on the worker, or out of order", w.info.ID, r.key())
			}
		}
	}
	if rate := c.health.FailureRate(w.info.ID); rate != w.failureRate {
		t.Errorf("worker %s: failure rate %v instead of %v", w.info.ID, w.failureRate, rate)
	}
	if reserved != w.reserved || expectedCPU != w.expectedCPU {
		t.Errorf("worker %s: reserved %v, expected CPU %d; the runs have %v, %d", w.info.ID, w.reserved, w.expectedCPU, reserved, expectedCPU)
	}
}
