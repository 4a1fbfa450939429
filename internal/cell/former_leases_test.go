package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/workercall"
)

// simLeaseAnswers is how former owners answer their successors about leases.
type simLeaseAnswers struct {
	random     *rand.Rand // of its own, so that it changes no other choice of the simulation
	forgetRate float64    // probability that the process of a former owner has restarted and forgotten
	silent     bool       // no former owner answers
	maxDelay   time.Duration
}

func newSimLeaseAnswers(seed uint64) simLeaseAnswers {
	return simLeaseAnswers{random: rand.New(rand.NewPCG(seed, 11)), forgetRate: 0.2, maxDelay: 3 * time.Second}
}

// askFormerOwner has an owner ask the one before it for the ends of the leases, as package cellnode does, until that one may
// renew no more and answers. Some answers are late, and some come twice.
func (sim *simulation) askFormerOwner(o, former *simOwner) {
	f := &sim.leaseAnswers
	if former == nil || f.silent || f.random.Float64() < f.forgetRate {
		return
	}
	var ask func()
	ask = func() {
		if o.ended || sim.now >= o.cell.formerLeasesEnd {
			return
		}
		if former.suspended || !former.ended && sim.now < former.renewsUntil || f.random.Float64() < sim.lossRate {
			sim.schedule(250*time.Millisecond, ask)
			return
		}
		former.ended = true
		remaining := former.cell.LeaseEnds().Remaining(sim.now)
		for range 1 + f.random.IntN(2) {
			delay := 5 * time.Millisecond
			if f.random.IntN(4) == 0 {
				delay += time.Duration(f.random.Int64N(int64(f.maxDelay)))
			}
			sim.schedule(delay, func() { sim.deliverFormerLeases(o, remaining) })
		}
	}
	ask()
}

// deliverFormerLeases delivers an answer of a former owner once the owner's process runs.
func (sim *simulation) deliverFormerLeases(o *simOwner, remaining LeaseEnds) {
	switch {
	case o.ended:
	case o.suspended:
		sim.schedule(simTick, func() { sim.deliverFormerLeases(o, remaining) })
	default:
		o.cell.SetTime(sim.now, sim.wall())
		o.cell.SetFormerLeases(remaining.Received(sim.now))
	}
}

// Guards against LOST: each of several owners in a row waits anew for the leases on a worker that has left under the first one, and
// its long-running task stands still all the time.
func TestTaskOfWorkerThatLeftRunsInTimeAlthoughOwnersChange(t *testing.T) {
	for _, c := range []struct {
		name       string
		changes    int
		every      time.Duration
		unloaded   bool // all owners but the last one are replaced before they load the state
		silent     bool
		maxRestore time.Duration
	}{
		{"one change", 1, time.Second, false, false, restoreTime},
		{"a change each second", 5, time.Second, false, false, restoreTime},
		{"a change each half second, without loading", 8, 500 * time.Millisecond, true, false, restoreTime},
		{"changes after the lease has ended", 3, 2500 * time.Millisecond, true, false, 7500*time.Millisecond + time.Second},
		{"no answers", 1, time.Second, false, true, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				sim := newSimulation(seed, 3)
				sim.leaseAnswers.forgetRate, sim.leaseAnswers.maxDelay, sim.leaseAnswers.silent = 0, 200*time.Millisecond, c.silent
				sim.takeOver()
				sim.run(12 * time.Second)
				lost := sim.loseWorkerOfLongRunningTask()
				for i := range c.changes {
					sim.run(c.every)
					sim.owner.ended = true
					if next := sim.claim(); i == c.changes-1 || !c.unloaded {
						sim.load(next)
					}
				}
				for sim.running() == 0 && sim.now < lost+time.Minute {
					sim.run(simTick)
				}
				if away := sim.now - lost; away > c.maxRestore {
					t.Errorf("seed %d: the task was away for %v, want at most %v", seed, away, c.maxRestore)
				}
				for _, violation := range sim.violations {
					t.Error(violation)
				}
			}
		})
	}
}

// loseWorkerOfLongRunningTask has a long-running task start and its worker leave without a sign, and returns when it left.
func (sim *simulation) loseWorkerOfLongRunningTask() time.Duration {
	spec := testSpec(1)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	sim.run(2 * time.Second)
	for id, s := range sim.workers {
		if len(s.running) > 0 {
			s.up = false
			delete(sim.workers, id)
		}
	}
	return sim.now
}

// Guards against TWICE: an answer of a former owner is applied to an incarnation or a worker of which it says nothing, prolongs the
// wait, or takes back what this owner has extended itself.
func TestEndOfLeaseOfFormerOwners(t *testing.T) {
	const wait, now = 20 * time.Second, 10 * time.Second
	answer := LeaseEnds{Others: 3 * time.Second, Workers: map[string]WorkerLease{"w": {StartedAtMS: 7, End: 5 * time.Second}, "late": {End: time.Minute}}}
	for _, c := range []struct {
		name, worker string
		incarnation  int64
		kept         map[string]WorkerLease
		want         time.Duration
	}{
		{"the incarnation of the answer", "w", 7, nil, 15150 * time.Millisecond},
		{"an unknown incarnation", "w", 0, nil, 15150 * time.Millisecond},
		{"another incarnation", "w", 8, nil, wait},
		{"a worker that is not listed", "x", 8, nil, 13090 * time.Millisecond},
		{"an end after the wait", "late", 0, nil, wait},
		{"a lease that this owner has extended", "w", 7, map[string]WorkerLease{"w": {StartedAtMS: 7, End: 25 * time.Second}}, 25 * time.Second},
	} {
		cell := New(Settings{MaxLease: maxLease}, 2, wait, zap.NewNop(), NewMetrics(metrics.NewSet()))
		maps.Copy(cell.formerLeases.Workers, c.kept)
		cell.SetTime(now, time.Time{})
		for range 2 { // an answer may come twice
			cell.SetFormerLeases(answer.Received(now))
		}
		if end := cell.formerLeaseEnd(c.worker, c.incarnation); end != c.want {
			t.Errorf("%s: the lease has ended at %v, want %v", c.name, end, c.want)
		}
		cell.SetWorkers([]workercall.Worker{{ID: c.worker, StartedAtMS: c.incarnation}})
		if lease := cell.LeaseEnds().Workers[c.worker]; lease.End != c.want {
			t.Errorf("%s: the next owner is told %v, want %v", c.name, lease.End, c.want)
		}
	}
}

// Guards against TWICE: an owner that learns the ends of leases from the one before it starts what ran on a worker that is cut off
// from it, while the lease on the worker's slow clock has not ended.
func TestTaskOfUnreachedWorkerRunsOnceWhileOwnersChange(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(seed, 4)
			for _, s := range sim.workers {
				s.clockSlow = seed%2 == 0
			}
			sim.takeOver()
			sim.run(12 * time.Second)
			spec := testSpec(8)
			spec.Steps[0].LongRunning = true
			sim.submit("j", spec)
			sim.run(2 * time.Second)
			for range 1 + sim.random.IntN(4) {
				sim.run(time.Duration(sim.random.IntN(3000)) * time.Millisecond)
				sim.replaceOwnerWithCuts("w0", "w1")
			}
			if !sim.owner.loaded {
				sim.load(sim.owner)
			}
			sim.run(20 * time.Second)
			for _, violation := range sim.violations {
				t.Error(violation)
			}
			if running := sim.running(); running != 8 {
				t.Errorf("%d runs, want 8", running)
			}
		})
	}
}

// replaceOwnerWithCuts replaces the owner. Each of the workers may be cut off from the new one, some after it has answered once,
// and from the store. The new owner may not load the state.
func (sim *simulation) replaceOwnerWithCuts(workers ...string) {
	within := func(most time.Duration) time.Duration { return time.Duration(sim.random.Int64N(int64(most))) }
	former := sim.owner
	if sim.random.IntN(2) == 0 {
		former.ended = true
	} else {
		sim.freeze(former, within(12*time.Second))
	}
	sim.run(within(time.Second))
	o := sim.claim()
	for _, id := range workers {
		s := sim.workers[id]
		cut := func() { s.unreachableBy[o], s.unlisted = true, s.unlisted || sim.random.IntN(2) == 0 }
		switch sim.random.IntN(4) {
		case 0:
		case 1:
			sim.schedule(within(4*time.Second), cut)
		default:
			cut()
		}
	}
	if sim.random.IntN(3) > 0 {
		sim.run(within(6 * time.Second))
		if !o.ended {
			sim.load(o)
		}
	}
}

// Guards against TWICE: an owner extends the lease on a worker whose entry goes before the state is loaded, forgets the worker, finds its
// runs in the state and takes the lease for one that former owners extended.
func TestLeaseExtendedBeforeLoadIsKeptWithoutEntry(t *testing.T) {
	sim := newSimulation(3, 2)
	sim.leaseAnswers.silent = true
	sim.takeOver()
	spec := testSpec(2)
	spec.Steps[0].LongRunning = true
	sim.submit("j", spec)
	sim.run(2 * time.Second)
	sim.owner.ended = true
	o := sim.claim()
	sim.run(5 * time.Second)
	cut := sim.workers["w0"]
	cut.unreachableBy[o], cut.unlisted = true, true
	sim.run(simTick)
	sim.load(o)
	sim.run(10 * time.Second)
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	if running := sim.running(); running != 2 {
		t.Errorf("%d runs, want 2", running)
	}
}
