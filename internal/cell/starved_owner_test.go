package cell

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// restoreTime is the longest time for which a long-running task may be away while there is room for it: the rule
	// LOST counts 3 s from 6 s after its last run.
	restoreTime = 9 * time.Second
	// recoveryTime is the time after a restart of all processes from which on a quarter of the jobs must be served.
	recoveryTime = 15 * time.Second
)

// starvedOwner is a simulation of an owner without enough processor time for the load.
type starvedOwner struct {
	*simulation
	t         *testing.T
	submitted map[jobs.ID]time.Duration
	lastRun   map[jobs.TaskID]time.Duration // when a long-running task was last seen running
	longRuns  []jobs.TaskID
}

// newStarvedOwner returns a simulation of 60 workers with 480 slots and ten long-running jobs of four tasks. A renewal
// order to each worker every 0.8 s would take all processor time of the owner.
func newStarvedOwner(t *testing.T, seed uint64) *starvedOwner {
	s := &starvedOwner{simulation: newSimulation(seed, 60), t: t, submitted: make(map[jobs.ID]time.Duration), lastRun: make(map[jobs.TaskID]time.Duration)}
	s.processorCost = 7 * time.Millisecond
	s.takeOver()
	for i := range 10 {
		spec := testSpec(4)
		spec.Steps[0].LongRunning = true
		id := jobs.ID(fmt.Sprintf("long%02d", i))
		s.submit(id, spec)
		for index := range 4 {
			s.longRuns = append(s.longRuns, jobs.TaskID{Job: id, Index: index})
		}
	}
	s.run(3 * time.Second)
	return s
}

// load submits jobs of ten tasks at a rate per second for a time d, and checks the long-running tasks meanwhile.
func (s *starvedOwner) load(perSecond int, d time.Duration) {
	interval := time.Second / time.Duration(perSecond)
	for end := s.now + d; s.now < end; s.run(interval) {
		id := jobs.ID(fmt.Sprintf("j%05d", len(s.submitted)))
		s.submitted[id] = s.now
		s.submit(id, testSpec(10))
		s.checkLongRunning()
	}
}

// checkLongRunning reports a long-running task that has not run for more than restoreTime.
func (s *starvedOwner) checkLongRunning() {
	for _, worker := range s.workers {
		for task, r := range worker.running {
			if r.step.LongRunning {
				s.lastRun[task] = s.now
			}
		}
	}
	for _, task := range s.longRuns {
		if last, ran := s.lastRun[task]; ran && s.now-last > restoreTime {
			s.t.Errorf("%v: long-running task %v has not run for %v", s.now, task, s.now-last)
			s.lastRun[task] = s.now // report it again only if it stays away
		}
	}
}

// lapsedRuns counts the runs that ended because their worker's lease had expired.
func (s *starvedOwner) lapsedRuns() int {
	lapsed := 0
	for _, worker := range s.workers {
		for _, e := range worker.ended {
			if e.Reason == workercall.LeaseExpired {
				lapsed++
			}
		}
	}
	return lapsed
}

// completedShare returns the share of the jobs submitted between two times that are completed.
func (s *starvedOwner) completedShare(from, to time.Duration) float64 {
	submitted, completed := 0, 0
	for id, at := range s.submitted {
		if at >= from && at < to {
			submitted++
			if s.state(id) == jobs.Completed {
				completed++
			}
		}
	}
	return float64(completed) / float64(max(1, submitted))
}

// Guards against LOST and SHORT under overload: an owner that is asked for more starts than it has processor time for
// renews leases too late, loses the runs and starts them again, and completes less the more it is asked for.
func TestStarvedOwnerKeepsLeasesWhileOverloaded(t *testing.T) {
	moderate := newStarvedOwner(t, 1)
	moderate.load(3, 25*time.Second)
	s := newStarvedOwner(t, 1)
	s.load(30, 25*time.Second)
	if lapsed := s.lapsedRuns(); lapsed > 0 {
		t.Errorf("%d runs lost their lease although all workers were reachable", lapsed)
	}
	if done, want := len(s.done), len(moderate.done); done < want {
		t.Errorf("%d tasks were done under overload, want at least the %d of a tenth of the load", done, want)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

// Guards against LOST and RECOVER after a restart of everything: an owner with a backlog and little processor time
// leaves long-running tasks away and serves no new job.
func TestStarvedOwnerRecoversAfterRestartOfEverything(t *testing.T) {
	s := newStarvedOwner(t, 2)
	s.load(30, 15*time.Second)
	s.owner.ended = true
	s.run(3 * time.Second) // until a new owner has read the state
	s.takeOver()
	restarted := s.now
	s.load(5, recoveryTime)
	s.load(5, 10*time.Second)
	s.run(5 * time.Second)
	s.checkLongRunning()
	if share := s.completedShare(restarted+recoveryTime, restarted+recoveryTime+10*time.Second); share < 0.25 {
		t.Errorf("%.2f of the jobs submitted from %v after the restart were completed, want at least a quarter", share, recoveryTime)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
}

// Guards against overload that feeds itself: a late owner goes on asking each worker for reports as often as one with time
// to spare.
func TestLateOwnerOrdersFewerRenewals(t *testing.T) {
	renewals := func(delay time.Duration) (count int) {
		sim := newSimulation(16, 1)
		o := sim.takeOver()
		sim.taskRunTime = time.Minute
		sim.submit("j", testSpec(4))
		sim.run(2 * time.Second)
		for end := sim.now + 10*time.Second; sim.now < end; sim.now += simTick {
			sim.runDueEvents()
			o.cell.SetTime(sim.now, sim.wall())
			o.cell.ObserveDelay(delay)
			for _, order := range o.cell.TakeOrders(true).Renewals {
				count++
				report, err := sim.workers["w0"].renew(order.Request)
				if err != nil {
					t.Fatal(err)
				}
				o.cell.RenewAnswered("w0", report, order.CreatedAt)
			}
		}
		return count
	}
	if onTime, late := renewals(0), renewals(500*time.Millisecond); late > onTime/10 || late < 8 {
		t.Errorf("%d renewal orders in 10 s by a late owner, %d by one on time; want at most a tenth, but at least 8", late, onTime)
	}
}
