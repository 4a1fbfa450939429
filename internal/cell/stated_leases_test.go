package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/workercall"
)

// simLoadTime is the time from a claim until the new owner has loaded the state where a test does not vary it.
const simLoadTime = 300 * time.Millisecond

// newServiceSimulation returns a simulation of a cell whose owner has long-running tasks running for a while, and in which former
// owners tell their successors nothing. The clocks of some workers are slow.
func newServiceSimulation(seed uint64, workers, tasks int) *simulation {
	sim := newSimulation(seed, workers)
	sim.leaseAnswers.silent = true
	for i, s := range sim.sortedWorkers() {
		s.clockSlow = seed>>i&1 == 1
	}
	sim.takeOver()
	sim.run(12*time.Second + time.Duration(seed%7)*100*time.Millisecond)
	spec := testSpec(tasks)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	sim.run(2 * time.Second)
	return sim
}

// loseBusyWorker has a worker with runs leave without a sign.
func (sim *simulation) loseBusyWorker() {
	for _, s := range sim.sortedWorkers() {
		if len(s.running) > 0 {
			s.up = false
			delete(sim.workers, s.info.ID)
			return
		}
	}
}

// checkRuns checks that a number of tasks run, and that no start has violated a rule.
func (sim *simulation) checkRuns(t *testing.T, want int) {
	t.Helper()
	if running := sim.running(); running != want {
		t.Errorf("%d runs, want %d", running, want)
	}
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// Guards against LOST: the task of a worker that is lost shortly before or after its owner crashes starts again only when all leases
// have ended that the owner might have extended without the store.
func TestTaskOfLostWorkerRunsInTimeAlthoughOwnersCrash(t *testing.T) {
	const first = 2 * time.Second
	for _, c := range []struct {
		name     string
		tenures  []time.Duration // of the owners that crash
		unloaded bool            // they crash before they have loaded the state, except for the first one
		lostAt   int             // the worker is lost around the crash of this one
		// goneBound is the longest time from the last crash until the task runs if the worker's entry goes at once, where an owner
		// that has not loaded the state, and so does not know of the worker, extends leases.
		goneBound time.Duration
	}{
		{"one crash", []time.Duration{first}, false, 0, 0},
		{"a second crash after 0.5 s, loaded", []time.Duration{first, 500 * time.Millisecond}, false, 0, 0},
		{"a second crash before it extends leases", []time.Duration{first, 400 * time.Millisecond}, true, 0, 0},
		{"a second crash when it begins to extend leases", []time.Duration{first, 500 * time.Millisecond}, true, 0, restoreTime},
		{"a second crash after 3 s, loaded", []time.Duration{first, 3 * time.Second}, false, 0, 0},
		{"a second crash after 3 s, not loaded", []time.Duration{first, 3 * time.Second}, true, 0, restoreTime},
		{"lost around a second crash after 3 s, loaded", []time.Duration{first, 3 * time.Second}, false, 1, 0},
		{"lost around a second crash after 3 s, not loaded", []time.Duration{first, 3 * time.Second}, true, 1, 0},
		{"three crashes, loaded", []time.Duration{first, time.Second, 2 * time.Second}, false, 0, 0},
		{"three crashes, not loaded", []time.Duration{first, 2 * time.Second, time.Second}, true, 0, restoreTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst := make(map[bool]time.Duration) // by whether the worker's entry goes
			for i := range uint64(41) {
				offset := -2*time.Second + time.Duration(i)*100*time.Millisecond
				sim := newServiceSimulation(i, 3, 1)
				sim.claims.successor = firstRegistered
				gone := i%2 == 0
				if !gone {
					sim.entryLag = time.Minute
				}
				var lost, crashed time.Duration
				for k, tenure := range c.tenures {
					if k == c.lostAt {
						sim.schedule(max(0, tenure+offset), func() { sim.loseBusyWorker(); lost = sim.now })
					}
					sim.run(tenure)
					sim.owner.ended, crashed = true, sim.now
					o := sim.awaitClaim()
					if last := k == len(c.tenures)-1; last || !c.unloaded {
						sim.schedule(simLoadTime, func() { sim.load(o) })
					}
				}
				loaded := sim.now + simLoadTime
				for (lost == 0 || sim.running() == 0) && sim.now < loaded+time.Minute {
					sim.run(simTick)
				}
				latest := lost + restoreTime
				if len(c.tenures) > 1 {
					latest = max(latest, loaded+time.Second)
				}
				if gone && c.goneBound > 0 {
					latest = max(latest, crashed+c.goneBound)
				}
				if sim.now > latest {
					t.Errorf("lost %v after the crash, entry gone %v: the task was away for %v, want at most %v", offset, gone, sim.now-lost, latest-lost)
				}
				worst[gone] = max(worst[gone], sim.now-lost)
				sim.checkRuns(t, 1)
			}
			t.Logf("away for at most %v, %v if the entry of the worker goes", worst[false], worst[true])
		})
	}
}

// Guards against TWICE and LOST: an owner extends leases beyond what the next one waits for, while owners crash, freeze, lose the store
// alone or with all others, and workers with slow clocks are cut off from some owners.
func TestStatedLeasesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newServiceSimulation(seed, 5, 10)
			sim.lossRate, sim.delayRate = 0.03, 0.02
			sim.leaseAnswers.silent = seed%4 != 0
			for range 6 {
				sim.stepLeaseFaults()
			}
			sim.lossRate, sim.delayRate = 0, 0
			sim.owner.cutFromStore = false
			for _, s := range sim.workers {
				s.unlisted = false
				clear(s.unreachableBy)
			}
			sim.run(2 * time.Second)
			sim.ensureOwner()
			sim.run(20 * time.Second)
			sim.checkRuns(t, 10)
		})
	}
}

// stepLeaseFaults cuts workers off from the owner, lets a fault come over the owner or the store, and waits for an owner.
func (sim *simulation) stepLeaseFaults() {
	within := func(most time.Duration) time.Duration { return time.Duration(sim.random.Int64N(int64(most))) }
	for _, c := range sim.candidates {
		c.refuses = sim.random.IntN(4) == 0
	}
	cut := func(o *simOwner) {
		for _, s := range sim.sortedWorkers() {
			if sim.random.IntN(4) > 0 {
				continue
			}
			sim.schedule(within(5*time.Second), func() { s.unreachableBy[o], s.unlisted = true, sim.random.IntN(2) == 0 })
			sim.schedule(5*time.Second+within(8*time.Second), func() { delete(s.unreachableBy, o); s.unlisted = false })
		}
	}
	o := sim.owner
	cut(o)
	sim.run(within(3 * time.Second))
	switch sim.random.IntN(5) {
	case 0:
		o.ended = true
	case 1:
		o.suspended = true
		sim.schedule(within(12*time.Second), func() { o.suspended = false })
	case 2:
		o.cutFromStore = true
	case 3:
		sim.takeStoreAway(3*time.Second + within(7*time.Second))
		sim.run(sim.claims.storeAwayUntil - sim.now)
	case 4:
		sim.restartWorker(fmt.Sprint("w", sim.random.IntN(5)))
	}
	sim.run(within(2 * time.Second))
	sim.ensureOwner()
	if sim.owner != o {
		cut(sim.owner)
	}
}

// ensureOwner runs the simulation until the cell has an owner that has loaded the state and may decide, or is about to load it.
func (sim *simulation) ensureOwner() {
	for range 600 {
		o := sim.owner
		if !o.ended && !o.suspended && !o.cutFromStore && sim.now < o.renewedAt+claim.LeaseDuration {
			return
		}
		i := sim.claims.random.IntN(simCandidates)
		if sim.candidates[i].view.ShouldClaim(sim.now) {
			before := sim.claims.successor
			sim.claims.successor = i
			next := sim.claim()
			sim.claims.successor = before
			sim.schedule(time.Duration(sim.random.Int64N(int64(2*time.Second))), func() {
				if !next.ended {
					sim.load(next)
				}
			})
			return
		}
		sim.run(simTick)
	}
}

// Guards against LOST: leases end during an outage of the store although all candidates consent to longer ones. Without the consent of
// one they end by what was stated, since it may follow as the owner.
func TestLeasesDuringOutageOfStore(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuses bool
		lapse   bool
	}{
		{"all candidates consent", false, false},
		{"one candidate does not consent", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(7) {
				sim := newServiceSimulation(seed, 3, 6)
				sim.candidates[secondRegistered].refuses = c.refuses
				ended := func() (count int64) {
					for _, s := range sim.workers {
						count += s.endCount
					}
					return count
				}
				sim.takeStoreAway(6 * time.Second)
				sim.run(simClaimTimeout) // a statement may be under way
				stated := sim.owner.grants.Limit()
				sim.run(6*time.Second - simClaimTimeout)
				if limit := sim.owner.grants.Limit(); limit > stated != !c.refuses {
					t.Errorf("seed %d: leases may end at %v, the statement said %v", seed, limit, stated)
				}
				sim.load(sim.awaitClaim())
				sim.run(10 * time.Second)
				if lapsed := ended(); lapsed > 0 != c.lapse {
					t.Errorf("seed %d: %d runs have ended", seed, lapsed)
				}
				sim.checkRuns(t, 6)
			}
		})
	}
}

// Guards against TWICE: the owner of the cell to which a worker is handed over does not know of the lease that the owner of the other
// cell has extended, and takes what runs there for ended too early.
func TestLeaseOfOtherCellIsKnownAfterHandOver(t *testing.T) {
	sim := newCellsSimulation(5, 2, 4)
	sim.run(12 * time.Second)
	sim.submitTo(1, "j", testSpec(8))
	sim.run(300 * time.Millisecond)
	s, to := sim.workers["w1"], sim.cells[0].owner
	for len(s.running) > 0 || !sim.handOver(sim.cells[1], s.info.ID, 0, handOverCompletes) {
		sim.run(simTick)
	}
	to.table = sim.table
	sim.runUntil(func() bool { w := to.cell.workers[s.info.ID]; return w != nil && w.tokenAccepted })
	if end, known := sim.now+s.leaseEnd-s.clock(), to.cell.workers[s.info.ID].leaseEnd(); known < end {
		t.Errorf("the lease ends in %v, the owner expects it in %v", end-sim.now, known-sim.now)
	}
}

// Guards against TWICE: a statement lists so many workers that there is no room for some, whose leases the next owner does not wait for.
func TestLeasesThatCannotBeListedCountAmongOthers(t *testing.T) {
	const now = time.Hour
	var workers []workercall.Worker
	ends := LeaseEnds{Workers: make(map[string]WorkerLease)}
	for i := range claim.MaxStatedWorkers + 2 {
		id := fmt.Sprint("w", i)
		workers = append(workers, workercall.Worker{ID: id, StartedAtMS: 7})
		ends.Workers[id] = WorkerLease{StartedAtMS: 7, End: now + time.Duration(i+1)*time.Millisecond}
	}
	c := New(Settings{MaxLease: maxLease}, 2, now+10*time.Second, zap.NewNop(), NewMetrics(metrics.NewSet()))
	c.SetFormerLeases(ends)
	c.SetTime(now, time.Time{})
	c.SetWorkers(workers)
	listed, others := c.StateLeases(2, now+7*time.Second)
	if want := now + (claim.MaxStatedWorkers+2)*time.Millisecond; len(listed) != claim.MaxStatedWorkers || others != want {
		t.Errorf("%d workers are listed, all other leases have ended at %v; want %d and %v", len(listed), others, claim.MaxStatedWorkers, want)
	}
}

// Guards against TWICE: a statement leaves out leases of former owners, or of this one, on workers that it does not list. One that does
// not extend leases, as that of a release, says nothing else of them.
func TestStatementCoversLeasesOnWorkersInTouch(t *testing.T) {
	const formerEnd = 9 * time.Second
	c := New(Settings{MaxLease: maxLease}, 2, formerEnd, zap.NewNop(), NewMetrics(metrics.NewSet()))
	if _, others := c.StateLeases(2, time.Minute); others != formerEnd {
		t.Errorf("all leases have ended at %v without workers, want the end of those of former owners at %v", others, formerEnd)
	}
	sim := newSimulation(6, 2)
	o := sim.takeOver()
	sim.run(12 * time.Second)
	sim.submit("j", testSpec(8))
	sim.run(300 * time.Millisecond)
	listed, others := o.cell.StateLeases(o.grants.Serial()+1, sim.now+time.Minute)
	for id, s := range sim.workers {
		if end := sim.now + s.leaseEnd - s.clock(); len(s.running) == 0 || others < end {
			t.Errorf("%d runs on %s, whose lease ends at %v; the statement says %v", len(s.running), id, end, others)
		}
	}
	if len(listed) > 0 {
		t.Errorf("%d workers in touch are listed", len(listed))
	}
}
