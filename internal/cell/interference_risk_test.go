package cell

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobs"
)

// riskWorld has two workers with a service of one image each; the service on "peak" is near its latency target.
func riskWorld() (c *Cell, peak, trough *worker) {
	sim := newSimulation(7, 2)
	c = sim.takeOver().cell
	sim.run(12 * time.Second)
	c.interference.Restore(cpuinterference.Snapshot{
		LowestTailMS: map[string]float64{"service": 20},
		Pairs: []cpuinterference.Pair{
			{ServiceImage: "service", BestEffortImage: "light", Mean: 0.3, Deviation: 0.01},
			{ServiceImage: "service", BestEffortImage: "none", Mean: 0, Deviation: 0.01},
		},
	})
	peak, trough = c.workers["w0"], c.workers["w1"]
	for w, load := range map[*worker]float64{peak: 0.72, trough: 0.3} {
		spec := testSpec(1)
		spec.Steps[0].Image, spec.Steps[0].LongRunning, spec.Steps[0].TargetTailLatency = "service", true, 100*time.Millisecond
		j := &job{id: jobs.ID("service-" + w.info.ID), groups: make(map[jobs.GroupID]*group)}
		j.record.Spec = spec
		g := c.ensureGroup(j, jobs.GroupID{Job: j.id})
		w.addRun(&run{task: g.tasks[0], number: 1, worker: w, state: runRunning, pace: fullPace,
			reading: &cpuinterference.Reading{At: c.now, Utilization: load, OwnLoad: load}})
	}
	return c, peak, trough
}

// bestEffortGroup returns a group of best-effort tasks of an image.
func bestEffortGroup(c *Cell, image string) *group {
	spec := testSpec(4)
	spec.Steps[0].Image, spec.Steps[0].BestEffort = image, true
	j := &job{id: jobs.ID("batch-" + image), groups: make(map[jobs.GroupID]*group)}
	j.record.Spec, j.record.Service = spec, c.workers["w0"].info.Service
	return c.ensureGroup(j, jobs.GroupID{Job: j.id})
}

// Guards against services that are pushed over their latency targets at the peak of their load by best-effort tasks that press
// on them only a little, while other services are far from their targets.
func TestBestEffortTasksAvoidServicesNearTheirTargets(t *testing.T) {
	Convey("The risk is higher beside a service near its target, and none for an image that presses on no service", t, func() {
		c, peak, trough := riskWorld()
		So(c.interferenceRisk(peak, "light"), ShouldBeGreaterThan, 2*c.interferenceRisk(trough, "light"))
		So(c.interferenceRisk(peak, "none"), ShouldEqual, 0)
	})
	Convey("A task that presses on the services goes to the worker whose service is far from its target, until that has less left", t, func() {
		c, peak, trough := riskWorld()
		g := bestEffortGroup(c, "light")
		v := c.newPlacementView()
		before := c.interferenceRisk(trough, "light")
		chosen := make(map[*worker]int)
		for _, task := range g.tasks {
			i := c.chooseWorker(v, task, nil)
			So(i, ShouldBeGreaterThanOrEqualTo, 0)
			chosen[v.workers[i]]++
			c.assign(v, task, i, 1)
		}
		So(chosen[trough], ShouldBeGreaterThan, chosen[peak])
		So(c.interferenceRisk(trough, "light"), ShouldBeGreaterThan, before)
	})
	Convey("The risk follows a change of the pace of what runs there", t, func() {
		c, _, trough := riskWorld()
		v := c.newPlacementView()
		g := bestEffortGroup(c, "light")
		c.assign(v, g.tasks[0], workerIndex(v, trough), 1)
		full := c.interferenceRisk(trough, "light")
		trough.bestEffort[0].setPace(0)
		So(c.interferenceRisk(trough, "light"), ShouldBeLessThan, full)
	})
}

func workerIndex(v *placementView, w *worker) int {
	for i := range v.workers {
		if v.workers[i] == w {
			return i
		}
	}
	return -1
}

// Guards against LOST: best-effort jobs of an image that presses on all services waited without limit, although most of the capacity
// was free.
func TestBestEffortTaskThatHasWaitedRunsBesideServices(t *testing.T) {
	Convey("Given workers whose services all are too near to their targets for an image", t, func() {
		c, peak, trough := riskWorld()
		c.interference.Restore(cpuinterference.Snapshot{Pairs: []cpuinterference.Pair{
			{ServiceImage: "service", BestEffortImage: "heavy", Mean: 1.5, Deviation: 0.01},
		}})
		peak.services[0].reading.Utilization, trough.services[0].reading.Utilization = 0.84, 0.84
		waiting := bestEffortGroup(c, "heavy").tasks[0]
		waiting.waitingSince, waiting.group.readyAt = c.now, c.now
		waiting.group.job.runs = 1 // of another task
		Convey("a task waits at first", func() {
			So(c.chooseWorker(c.newPlacementView(), waiting, nil), ShouldEqual, -1)
		})
		Convey("it runs once it has waited for overdueAfter", func() {
			c.now += overdueAfter
			peak.lastReport, trough.lastReport = c.now, c.now
			So(c.chooseWorker(c.newPlacementView(), waiting, nil), ShouldBeGreaterThanOrEqualTo, 0)
		})
		Convey("it goes on waiting while more than half of the capacity is in use", func() {
			c.now += overdueAfter
			for _, w := range []*worker{peak, trough} {
				w.lastReport, w.reserved.MilliCPU = c.now, w.info.Capacity.MilliCPU*6/10
			}
			So(c.chooseWorker(c.newPlacementView(), waiting, nil), ShouldEqual, -1)
		})
	})
}
