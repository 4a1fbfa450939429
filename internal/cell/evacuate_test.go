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
			So(o.cell.RoundStored(o.cell.Plan()), ShouldHaveLength, 1)
		})
	})
}
