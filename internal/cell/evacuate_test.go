package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// evacuate has an owner know the evacuated failure domains, confirmed now.
func (sim *simulation) evacuate(o *simOwner, domains ...string) {
	o.cell.SetTime(sim.now, sim.wall())
	o.cell.SetEvacuations(&evacuation.View{Set: evacuation.NewSet(domains...), ConfirmedAt: sim.now})
}

// newDomainSimulation returns a simulation with one worker in each failure domain and an owner to which all have reported.
// Worker w0 is in domain d0.
func newDomainSimulation(seed uint64, domains int) (*simulation, *simOwner) {
	sim := newSimulation(seed, domains)
	for i, w := range sim.sortedWorkers() {
		w.info.FailureDomain = []string{"d0", "d1", "d2"}[i]
	}
	o := sim.takeOver()
	sim.run(100 * time.Millisecond)
	return sim, o
}

// orderStarts adds a job to an owner and returns the start orders of its tasks, which are not sent.
func (sim *simulation) orderStarts(o *simOwner, id jobs.ID, spec jobs.Spec) []StartOrder {
	sim.submit(id, spec)
	o.cell.SetTime(sim.now, sim.wall())
	o.cell.ApplyJobRecord(sim.jobLog[len(sim.jobLog)-1])
	return o.cell.RoundStored(o.cell.Plan())
}

var errWithdrawn = verdict.New(verdict.NotRun, workercall.ReasonWithdrawn, nil)

// Guards against placement in an evacuated failure domain.
func TestNoPlacementInEvacuatedDomain(t *testing.T) {
	Convey("Given two failure domains of which one is evacuated", t, func() {
		sim, o := newDomainSimulation(41, 2)
		sim.evacuate(o, "d0")
		Convey("all tasks are placed in the other one", func() {
			for _, order := range sim.orderStarts(o, "j", testSpec(4)) {
				So(order.To.ID, ShouldEqual, "w1")
			}
		})
		Convey("tasks without room there wait, and start in the domain once the request is withdrawn", func() {
			So(sim.orderStarts(o, "j", testSpec(10)), ShouldHaveLength, 8)
			sim.evacuate(o)
			starts := o.cell.RoundStored(o.cell.Plan())
			So(starts, ShouldHaveLength, 2)
			So(starts[0].To.ID, ShouldEqual, "w0")
		})
		Convey("the load counts no capacity and no use of the domain", func() {
			load := o.cell.CurrentLoad()
			So(load.Capacity, ShouldEqual, 4000)
			So(sim.orderStarts(o, "j", testSpec(4)), ShouldHaveLength, 4)
			So(o.cell.CurrentLoad().Used, ShouldEqual, 2000)
			sim.evacuate(o, "d0", "d1")
			So(o.cell.CurrentLoad().Capacity, ShouldEqual, 0)
			So(o.cell.CurrentLoad().Used, ShouldEqual, 0)
		})
		Convey("no worker of the domain is lent", func() {
			So(o.cell.Lend(100_000, ""), ShouldResemble, []string{"w1"})
		})
	})
}

// Guards against a start order that is sent, or leads to a second one, after the failure domain of its worker was evacuated.
func TestQueuedStartIsWithdrawnByEvacuation(t *testing.T) {
	Convey("Given a start order that is queued behind other orders to its worker", t, func() {
		sim, o := newDomainSimulation(42, 1)
		starts := sim.orderStarts(o, "j", testSpec(1))
		So(starts, ShouldHaveLength, 1)
		Convey("it is not sent once the domain is evacuated, and starts again after the withdrawal", func() {
			sim.evacuate(o, "d0")
			So(o.cell.StartStillNeeded(starts[0]), ShouldBeFalse)
			o.cell.StartAnswered(starts[0], workercall.Reply{}, errWithdrawn)
			So(o.cell.workers["w0"].runs, ShouldBeEmpty)
			sim.run(2 * time.Second)
			So(sim.startCounts, ShouldBeEmpty)
			sim.evacuate(o)
			sim.run(3 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
		})
		Convey("it is sent if another domain is evacuated", func() {
			sim.evacuate(o, "d1")
			So(o.cell.StartStillNeeded(starts[0]), ShouldBeTrue)
		})
	})
	Convey("Given a run that is placed and whose record is being stored", t, func() {
		sim, o := newDomainSimulation(43, 1)
		sim.submit("j", testSpec(1))
		o.cell.ApplyJobRecord(sim.jobLog[0])
		round := o.cell.Plan()
		sim.evacuate(o, "d0")
		So(o.cell.RoundStored(round), ShouldBeEmpty)
		So(o.cell.workers["w0"].runs, ShouldBeEmpty)
	})
}

// Guards against an unanswered start order that is repeated in an evacuated failure domain.
func TestUnansweredStartIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	Convey("Given a start order without an answer", t, func() {
		sim, o := newDomainSimulation(44, 2)
		starts := sim.orderStarts(o, "j", testSpec(1))
		So(starts, ShouldHaveLength, 1)
		to := starts[0].To.ID
		answered := func() {
			o.cell.StartAnswered(starts[0], workercall.Reply{}, errNoAnswer)
		}
		Convey("in a domain that is evacuated meanwhile it is not repeated", func() {
			sim.evacuate(o, sim.workers[to].info.FailureDomain)
			answered()
			sim.now += startRetryInterval
			o.cell.SetTime(sim.now, sim.wall())
			So(o.cell.TakeOrders(true).Starts, ShouldBeEmpty)
		})
		Convey("the task starts in the other domain once the worker has reported that it does not run", func() {
			sim.evacuate(o, sim.workers[to].info.FailureDomain)
			answered()
			sim.run(5 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workers[to].endCount, ShouldEqual, 0)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("if it was carried out, the task goes on in the evacuated domain", func() {
			_, err := sim.workers[to].start(starts[0].Start)
			So(err, ShouldBeNil)
			sim.evacuate(o, sim.workers[to].info.FailureDomain)
			answered()
			sim.run(5 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workers[to].endCount, ShouldEqual, 1)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		})
		Convey("if it is carried out late, it is refused or stopped, and the task never runs twice at a time", func() {
			sim.evacuate(o, sim.workers[to].info.FailureDomain)
			answered()
			sim.schedule(2*time.Second, func() { _, _ = sim.workers[to].start(starts[0].Start) })
			sim.run(8 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("elsewhere it is repeated", func() {
			answered()
			sim.now += startRetryInterval
			o.cell.SetTime(sim.now, sim.wall())
			So(o.cell.TakeOrders(true).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against starts on the basis of requests that are older than the bound allows.
func TestNoStartWithOutdatedEvacuations(t *testing.T) {
	Convey("Given a bound, and requests that were confirmed", t, func() {
		sim, o := newDomainSimulation(45, 1)
		maxAge := evacuation.MaxAge(5 * time.Second)
		o.cell.settings.MaxEvacuationAge = maxAge
		sim.evacuate(o)
		Convey("tasks start while the confirmation is not too old", func() {
			sim.now += maxAge
			So(sim.orderStarts(o, "j", testSpec(1)), ShouldHaveLength, 1)
		})
		Convey("no task is placed, sent or repeated after that, until the requests are confirmed again", func() {
			starts := sim.orderStarts(o, "j", testSpec(1))
			So(starts, ShouldHaveLength, 1)
			sim.now += maxAge + 1
			So(sim.orderStarts(o, "k", testSpec(1)), ShouldBeEmpty)
			So(o.cell.StartStillNeeded(starts[0]), ShouldBeFalse)
			o.cell.StartAnswered(starts[0], workercall.Reply{}, errNoAnswer)
			sim.now += startRetryInterval
			o.cell.SetTime(sim.now, sim.wall())
			So(o.cell.TakeOrders(true).Starts, ShouldBeEmpty)
			sim.evacuate(o)
			So(o.cell.TakeOrders(true).Starts, ShouldHaveLength, 1)
			report, err := sim.workers["w0"].renew(workercall.RenewRequest{Token: o.token})
			So(err, ShouldBeNil)
			o.cell.RenewAnswered("w0", report, sim.now) // the worker, which left an order unanswered, answers
			So(o.cell.RoundStored(o.cell.Plan()), ShouldHaveLength, 1)
		})
	})
}

// runningIn returns the number of tasks that run in a failure domain.
func (sim *simulation) runningIn(domain string) int {
	running := 0
	for _, s := range sim.workers {
		if s.info.FailureDomain == domain {
			running += len(s.running)
		}
	}
	return running
}

// Guards against an evacuation that disturbs running work, or lets it start again in the domain.
func TestRunningWorkStaysInEvacuatedDomain(t *testing.T) {
	Convey("Given long-running tasks in two failure domains", t, func() {
		sim, o := newDomainSimulation(46, 2)
		spec := testSpec(12)
		spec.Steps[0].LongRunning = true
		sim.submit("j", spec)
		sim.run(time.Second)
		before := sim.runningIn("d0")
		So(before, ShouldBeGreaterThan, 3)
		sim.evacuate(o, "d0")
		Convey("they go on for longer than their leases last", func() {
			sim.run(3 * maxLease)
			So(sim.runningIn("d0"), ShouldEqual, before)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
		})
		Convey("those that end there start in the other domain as far as it has room, and there again after the withdrawal", func() {
			sim.restartWorker("w0")
			sim.workers["w0"].info.FailureDomain = "d0"
			sim.run(4 * time.Second)
			So(sim.runningIn("d0"), ShouldEqual, 0)
			So(sim.runningIn("d1"), ShouldEqual, 8)
			sim.evacuate(o)
			sim.run(time.Second)
			So(sim.runningIn("d0"), ShouldEqual, 4)
		})
		Convey("a new owner neither stops nor repeats them, and starts nothing new there", func() {
			o.ended = true
			next := sim.claim()
			sim.evacuate(next, "d0")
			sim.load(next)
			sim.submit("k", testSpec(4))
			sim.run(3 * maxLease)
			So(sim.runningIn("d0"), ShouldEqual, before)
			So(sim.workers["w0"].endCount, ShouldEqual, 0)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("if the domain is cut off, they start in the other domain once their leases have expired", func() {
			sim.workers["w0"].unreachableBy[o] = true
			sim.run(3 * maxLease)
			So(sim.runningIn("d0"), ShouldEqual, 0)
			So(sim.runningIn("d1"), ShouldEqual, 8)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("if their worker drains, they are relocated to the other domain only", func() {
			sim.evacuate(o, "d1")
			sim.workers["w0"].info.Draining = true
			sim.run(3 * time.Second)
			So(sim.runningIn("d0"), ShouldEqual, before) // no domain has room that may be used
			sim.evacuate(o, "d0")
			sim.run(3 * time.Second)
			So(sim.runningIn("d1"), ShouldEqual, 8)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// Guards against a new owner that repeats a former owner's start order in an evacuated domain.
func TestNewOwnerDoesNotRepeatStartInEvacuatedDomain(t *testing.T) {
	Convey("Given an owner that is killed before its start order arrives", t, func() {
		sim, o := newDomainSimulation(47, 2)
		sim.submit("j", testSpec(1))
		o.cell.ApplyJobRecord(sim.jobLog[0])
		round := o.cell.Plan()
		for _, r := range round.Records {
			o.home.records[r.Key] = r
		}
		starts := o.cell.RoundStored(round)
		So(starts, ShouldHaveLength, 1)
		to := sim.workers[starts[0].To.ID]
		o.ended = true
		Convey("the next owner, which knows that the domain is evacuated, has the task run in the other one", func() {
			next := sim.claim()
			sim.evacuate(next, to.info.FailureDomain)
			sim.load(next)
			sim.run(8 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(to.endCount, ShouldEqual, 0)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// Guards against a gang of which a part is placed, or left running, in an evacuated domain.
func TestGangIsPlacedOutsideEvacuatedDomain(t *testing.T) {
	Convey("Given a gang that needs both of two failure domains", t, func() {
		sim, o := newDomainSimulation(48, 3)
		spec := testSpec(12)
		spec.Steps[0].Gang = true
		Convey("no member starts while one of them and the third are evacuated, and all do after a withdrawal", func() {
			sim.evacuate(o, "d1", "d2")
			sim.submit("j", spec)
			sim.run(2 * time.Second)
			So(sim.startCounts, ShouldBeEmpty)
			sim.evacuate(o, "d2")
			sim.run(200 * time.Millisecond)
			So(sim.runningIn("d0")+sim.runningIn("d1"), ShouldEqual, 12)
		})
		Convey("if a domain is evacuated before the orders are sent, no member is left running", func() {
			starts := sim.orderStarts(o, "j", spec)
			So(starts, ShouldHaveLength, 12)
			sim.evacuate(o, "d"+starts[0].To.ID[1:])
			sim.sendStarts(o, starts)
			sim.run(300 * time.Millisecond)
			running := sim.running()
			So(running == 0 || running == 12, ShouldBeTrue)
			So(sim.runningIn("d"+starts[0].To.ID[1:]), ShouldEqual, 0)
		})
	})
}

// Guards against jobs that are lost, or started, while all failure domains are evacuated.
func TestAllDomainsEvacuated(t *testing.T) {
	Convey("Given that all failure domains are evacuated", t, func() {
		sim, o := newDomainSimulation(49, 2)
		sim.evacuate(o, "d0", "d1")
		sim.submit("j", testSpec(2, 1))
		sim.run(20 * time.Second)
		Convey("jobs wait, and run once one of the requests is withdrawn", func() {
			So(sim.startCounts, ShouldBeEmpty)
			So(sim.state("j"), ShouldEqual, jobs.Queued)
			sim.evacuate(o, "d0")
			sim.run(4 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.workers["w0"].endCount, ShouldEqual, 0)
		})
	})
}
