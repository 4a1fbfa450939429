package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/workercall"
)

// newRackSimulation returns a simulation with an owner and six workers for eight tasks each, two on each of the racks r1, r2
// and r3. Those on r2 are w1 and w4.
func newRackSimulation(seed uint64, factor float64) *simulation {
	sim := newSimulation(seed, 6)
	sim.remoteRackFactor = factor
	for i := range 6 {
		rack := fmt.Sprint("r", 1+i%3)
		w := sim.workers[fmt.Sprint("w", i)]
		w.info.Rack, w.info.Labels = rack, []string{"a", rack}
	}
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	return sim
}

// onRack returns a job of one step with tasks whose data is on a rack.
func onRack(rack string, tasks int) jobs.Spec {
	spec := testSpec(tasks)
	spec.Steps[0].DataRack = rack
	return spec
}

// racksOf returns the number of a job's running tasks by rack.
func (sim *simulation) racksOf(id jobs.ID) map[string]int {
	racks := make(map[string]int)
	for _, w := range sim.workers {
		for task := range w.running {
			if task.Job == id {
				racks[w.info.Rack]++
			}
		}
	}
	return racks
}

// fillRack starts tasks with a run time of about a second on all slots of r2, with the given estimate.
func fillRack(sim *simulation, estimate time.Duration) {
	sim.taskRunTime = time.Second
	spec := onRack("r2", 16)
	spec.Steps[0].Estimate = estimate
	sim.submit("first", spec)
	sim.run(200 * time.Millisecond)
	So(sim.racksOf("first"), ShouldResemble, map[string]int{"r2": 16})
}

// TestWaitForDataRack guards against tasks that run elsewhere although their rack is soon free, and against waits of tasks
// that must not wait.
func TestWaitForDataRack(t *testing.T) {
	for _, c := range []struct {
		situation string
		factor    float64
		change    func(*jobs.Spec)
		waits     bool
	}{
		{"tasks wait for a slot on the rack of their data that is expected soon", 3, func(*jobs.Spec) {}, true},
		{"they start elsewhere at once if their rack saves little", 1.1, func(*jobs.Spec) {}, false},
		{"they start elsewhere at once if the settings name no factor", 0, func(*jobs.Spec) {}, false},
		{"they start elsewhere at once if their run time is unknown", 3, func(s *jobs.Spec) { s.Steps[0].Estimate = 0; s.Steps[0].Image = "new" }, false},
		{"they start elsewhere at once if the cell has no such rack", 3, func(s *jobs.Spec) { s.Steps[0].DataRack = "r9" }, false},
		{"long-running tasks start elsewhere at once", 3, func(s *jobs.Spec) { s.Steps[0].LongRunning = true }, false},
	} {
		Convey("Given a rack whose slots are all in use, "+c.situation, t, func() {
			sim := newRackSimulation(71, c.factor)
			fillRack(sim, time.Second)
			spec := onRack("r2", 4)
			c.change(&spec)
			sim.taskRunTime = 10 * time.Second
			sim.submit("j", spec)
			sim.run(150 * time.Millisecond)
			started := len(sim.racksOf("j")) > 0
			So(started, ShouldEqual, !c.waits)
			sim.run(1850 * time.Millisecond)
			total := 0
			for _, count := range sim.racksOf("j") {
				total += count
			}
			So(total, ShouldEqual, 4)
			So(sim.racksOf("j")["r2"] == 4, ShouldEqual, c.waits)
			So(sim.violations, ShouldBeEmpty)
		})
	}
}

// TestRackInDemand guards against a rack in high demand that makes all tasks of a kind wait, and against waits for slots that
// do not become free.
func TestRackInDemand(t *testing.T) {
	Convey("Given a rack whose slots are all in use", t, func() {
		sim := newRackSimulation(72, 3)
		Convey("of many tasks, the first ones wait and the others start elsewhere at once", func() {
			fillRack(sim, time.Second)
			sim.taskRunTime = 10 * time.Second
			spec := onRack("r2", 60)
			spec.Steps[0].Estimate = 500 * time.Millisecond
			sim.submit("j", spec)
			sim.run(150 * time.Millisecond)
			So(sim.racksOf("j")["r2"], ShouldBeLessThanOrEqualTo, 4)
			So(sim.racksOf("j")["r1"]+sim.racksOf("j")["r3"], ShouldBeBetween, 10, 60)
			waiting := 60 - sim.racksOf("j")["r1"] - sim.racksOf("j")["r3"] - sim.racksOf("j")["r2"]
			So(waiting, ShouldBeGreaterThan, 4)
		})
		Convey("a later job starts elsewhere at once if the tasks that wait already take the next slots", func() {
			fillRack(sim, time.Second)
			spec := onRack("r2", 16)
			spec.Steps[0].Estimate = 600 * time.Millisecond
			sim.submit("j", spec)
			sim.run(110 * time.Millisecond)
			So(sim.racksOf("j"), ShouldBeEmpty)
			later := onRack("r2", 1)
			later.Steps[0].Estimate = 600 * time.Millisecond
			sim.submit("later", later)
			sim.run(110 * time.Millisecond)
			So(sim.startCounts[jobs.TaskID{Job: "later"}], ShouldEqual, 1)
			So(sim.racksOf("j"), ShouldBeEmpty)
		})
		Convey("a task whose slot does not become free when expected starts elsewhere", func() {
			sim.taskRunTime = time.Hour
			spec := onRack("r2", 16)
			spec.Steps[0].Estimate = 100 * time.Millisecond
			sim.submit("first", spec)
			sim.run(200 * time.Millisecond)
			o := sim.owner
			lines := observeLog(o)
			sim.submit("j", onRack("r2", 1))
			sim.run(150 * time.Millisecond)
			So(sim.racksOf("j"), ShouldBeEmpty)
			sim.run(2 * time.Second)
			So(sim.racksOf("j"), ShouldHaveLength, 1)
			So(sim.racksOf("j")["r2"], ShouldEqual, 0)
			ended := lines.FilterMessage("waited for its rack").All()
			So(ended, ShouldHaveLength, 1)
			fields := ended[0].ContextMap()
			So(fields["end"], ShouldBeIn, "overdue", "sooner")
			So(fields["waited"], ShouldBeBetween, 50*time.Millisecond, 1500*time.Millisecond)
			So(metricsPage(o), ShouldContainSubstring, fmt.Sprintf(`cactuswall_cell_rack_wait_seconds_count{end=%q} 1`, fields["end"]))
			So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_rack_decisions_total{decision="wait"} 1`)
			So(metricsPage(o), ShouldContainSubstring, `cactuswall_cell_waiting_reason_seconds_count{reason="rack"} 1`)
		})
		Convey("a task that waits for its rack is started once, on the rack, and the wait is counted", func() {
			fillRack(sim, time.Second)
			sim.submit("j", onRack("r2", 1))
			sim.run(5 * time.Second)
			So(sim.state("j"), ShouldEqual, jobs.Completed)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
			So(metricsPage(sim.owner), ShouldContainSubstring, `cactuswall_cell_rack_wait_seconds_count{end="rack"} 1`)
		})
		Convey("run times are learned by image, from runs on the rack and elsewhere, so that a bad estimate does not keep tasks from waiting", func() {
			sim.remoteSlowdown, sim.taskRunTime = 3, time.Second
			spec := onRack("r2", 1)
			spec.Steps[0].Estimate, spec.Steps[0].Image = time.Millisecond, "i"
			fillRack(sim, time.Second)
			sim.submit("unknown", spec)
			sim.run(150 * time.Millisecond)
			So(sim.startCounts[jobs.TaskID{Job: "unknown"}], ShouldEqual, 1)
			sim.run(5 * time.Second)
			learned := spec
			learned.Steps = append([]jobs.Step(nil), spec.Steps...)
			learned.Steps[0].Count = 20
			sim.submit("learned", learned)
			sim.run(5 * time.Second)
			for _, g := range sim.owner.cell.jobs["learned"].groups {
				So(sim.owner.cell.expectedRunTime(g), ShouldBeBetween, 700*time.Millisecond, 1300*time.Millisecond)
			}
			filler := onRack("r2", 16)
			sim.submit("filler", filler)
			sim.run(200 * time.Millisecond)
			sim.submit("known", spec)
			sim.run(150 * time.Millisecond)
			So(sim.startCounts[jobs.TaskID{Job: "known"}], ShouldEqual, 0)
		})
		Convey("a job that is cancelled while its task waits starts nothing", func() {
			fillRack(sim, time.Second)
			sim.submit("j", onRack("r2", 1))
			sim.run(150 * time.Millisecond)
			So(sim.racksOf("j"), ShouldBeEmpty)
			sim.cancel("j")
			sim.run(5 * time.Second)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 0)
		})
		Convey("tasks that were ready when an owner took over do not wait under it", func() {
			fillRack(sim, time.Second)
			sim.submit("j", onRack("r2", 1))
			sim.run(150 * time.Millisecond)
			So(sim.racksOf("j"), ShouldBeEmpty)
			sim.takeOver()
			sim.run(300 * time.Millisecond)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 1)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a task whose run was lost does not wait", func() {
			fillRack(sim, time.Second)
			sim.taskRunTime = time.Hour
			sim.submit("j", onRack("r2", 1))
			sim.run(2 * time.Second)
			So(sim.racksOf("j"), ShouldResemble, map[string]int{"r2": 1})
			sim.taskRunTime = time.Second
			sim.submit("second", onRack("r2", 15))
			sim.run(100 * time.Millisecond)
			for _, w := range []string{"w1", "w4"} {
				if sim.workers[w].running[jobs.TaskID{Job: "j"}] != nil {
					sim.workers[w].end(jobs.TaskID{Job: "j"}, workercall.Failed)
				}
			}
			sim.submit("third", onRack("r2", 1)) // takes the slot during the delay after the failure
			sim.run(400 * time.Millisecond)
			So(sim.startCounts[jobs.TaskID{Job: "j"}], ShouldEqual, 2)
		})
	})
}

// TestGangOnRack guards against members of a gang on several racks where one rack has room, or has room soon, and against
// gangs that are started in part.
func TestGangOnRack(t *testing.T) {
	gang := func(tasks int) jobs.Spec {
		spec := testSpec(tasks)
		spec.Steps[0].Gang, spec.Steps[0].RackSensitive = true, true
		return spec
	}
	occupy := func(sim *simulation, tasks map[string]int) {
		for rack, count := range tasks {
			sim.submit(jobs.ID("on "+rack), onRack(rack, count))
		}
		sim.run(200 * time.Millisecond)
		for rack, count := range tasks {
			So(sim.racksOf(jobs.ID("on "+rack)), ShouldResemble, map[string]int{rack: count})
		}
	}
	Convey("Given three racks with 16 slots each", t, func() {
		sim := newRackSimulation(73, 2)
		sim.taskRunTime = time.Hour
		Convey("a gang that is sensitive to racks is placed on one rack", func() {
			sim.submit("j", gang(16))
			sim.run(300 * time.Millisecond)
			So(sim.racksOf("j"), ShouldHaveLength, 1)
		})
		Convey("it leaves the racks with more room to larger gangs", func() {
			occupy(sim, map[string]int{"r2": 8})
			sim.submit("j", gang(8))
			sim.run(300 * time.Millisecond)
			So(sim.racksOf("j"), ShouldResemble, map[string]int{"r2": 8})
		})
		Convey("it is placed on the rack of its data", func() {
			occupy(sim, map[string]int{"r1": 8})
			spec := gang(8)
			spec.Steps[0].DataRack = "r3"
			sim.submit("j", spec)
			sim.run(300 * time.Millisecond)
			So(sim.racksOf("j"), ShouldResemble, map[string]int{"r3": 8})
		})
		Convey("it starts on several racks if none will have room", func() {
			sim.submit("j", gang(20))
			sim.run(300 * time.Millisecond)
			So(len(sim.racksOf("j")), ShouldBeGreaterThan, 1)
			So(sim.running(), ShouldEqual, 20)
		})
		Convey("it starts on another rack whole if the rack of its data has no room for long", func() {
			occupy(sim, map[string]int{"r2": 16})
			spec := gang(8)
			spec.Steps[0].DataRack, spec.Steps[0].Estimate = "r2", 100*time.Millisecond
			sim.submit("j", spec)
			sim.run(2 * time.Second)
			So(sim.racksOf("j"), ShouldHaveLength, 1)
			So(sim.running(), ShouldEqual, 24)
		})
		Convey("all members wait together for a rack that has room for them soon, and start in the same run", func() {
			sim.taskRunTime = time.Second
			occupy(sim, map[string]int{"r1": 10, "r2": 10, "r3": 10})
			sim.taskRunTime = time.Hour
			spec := gang(10)
			spec.Steps[0].Estimate = 10 * time.Second
			sim.submit("j", spec)
			sim.run(100 * time.Millisecond)
			So(sim.racksOf("j"), ShouldBeEmpty)
			sim.run(3 * time.Second)
			So(sim.racksOf("j"), ShouldHaveLength, 1)
			So(sim.running(), ShouldEqual, 10)
			So(sim.violations, ShouldBeEmpty)
		})
		Convey("a long-running gang starts on several racks rather than wait", func() {
			sim.taskRunTime = time.Second
			occupy(sim, map[string]int{"r1": 10, "r2": 10, "r3": 10})
			spec := gang(10)
			spec.Steps[0].LongRunning = true
			sim.submit("j", spec)
			sim.run(100 * time.Millisecond)
			So(len(sim.racksOf("j")), ShouldBeGreaterThan, 1)
		})
	})
	Convey("Without a factor in the settings, a gang is placed worker by worker", t, func() {
		sim := newRackSimulation(74, 0)
		sim.taskRunTime = time.Hour
		sim.submit("j", gang(12))
		sim.run(300 * time.Millisecond)
		So(len(sim.racksOf("j")), ShouldBeGreaterThan, 1)
	})
}

// TestOthersPlacedAsBefore guards against effects on steps that name no rack and are not sensitive to racks.
func TestOthersPlacedAsBefore(t *testing.T) {
	Convey("The same steps without a rack are placed on the same workers with a factor and without one", t, func() {
		play := func(factor float64) string {
			sim := newRackSimulation(75, factor)
			lines := observeLog(sim.owner)
			for i := range 40 {
				spec := testSpec(1+i%7, 2)
				spec.Steps[0].BestEffort, spec.Steps[0].RackSensitive = i%7 == 1, true // no gang
				spec.Steps[1].Gang = i%5 == 0
				sim.submit(jobs.ID(fmt.Sprint("j", i)), spec)
				sim.run(130 * time.Millisecond)
			}
			sim.run(5 * time.Second)
			So(sim.violations, ShouldBeEmpty)
			var text strings.Builder
			for _, line := range lines.FilterMessage("run ended").All() {
				fmt.Fprintln(&text, line.ContextMap())
			}
			return text.String()
		}
		with := play(3)
		So(len(with), ShouldBeGreaterThan, 1000)
		So(with, ShouldEqual, play(0))
	})
}

// TestMeanJobTime guards against waits that make jobs later in all than starts elsewhere at once do, with the workers' reports,
// rounds and learned run times of a whole cell.
func TestMeanJobTime(t *testing.T) {
	// play returns the mean time from the arrival of a job to its end.
	play := func(seed uint64, racks int, slowdown, factor float64, between time.Duration) time.Duration {
		sim := newRackSimulation(seed, factor)
		sim.remoteSlowdown, sim.taskRunTime = slowdown, 2*time.Second
		lines := observeLog(sim.owner)
		const submitted = 80
		for i := range submitted {
			spec := onRack(fmt.Sprint("r", 1+sim.random.IntN(racks)), 1+sim.random.IntN(8))
			spec.Steps[0].Estimate, spec.Steps[0].Image = 500*time.Millisecond, "i" // a bad estimate, until the image is known
			sim.submit(jobs.ID(fmt.Sprint("j", i)), spec)
			sim.run(time.Duration(sim.random.Int64N(2 * int64(between))).Round(simTick))
		}
		sim.run(time.Minute)
		So(sim.violations, ShouldBeEmpty)
		ended := lines.FilterMessage("job ended").All()
		So(ended, ShouldHaveLength, submitted)
		total := time.Duration(0)
		for _, line := range ended {
			total += line.ContextMap()["after"].(time.Duration)
		}
		return total / submitted
	}
	for _, c := range []struct {
		situation string
		racks     int // that jobs name
		slowdown  float64
		between   time.Duration
	}{
		{"one rack in high demand", 1, 1.5, 350 * time.Millisecond},
		{"few jobs", 3, 3, 800 * time.Millisecond},
		{"a busy cell", 3, 3, 300 * time.Millisecond},
		{"a busy cell and a factor of 1.5", 3, 1.5, 260 * time.Millisecond},
		{"more jobs than the cell has room for", 3, 2, 150 * time.Millisecond},
	} {
		Convey("With "+c.situation+", jobs end at most a tenth later in the mean than if all tasks start at once", t, func() {
			var atOnce, withWaits time.Duration
			for seed := range uint64(2) {
				atOnce += play(80+seed, c.racks, c.slowdown, 0, c.between)
				withWaits += play(80+seed, c.racks, c.slowdown, c.slowdown, c.between)
			}
			So(float64(withWaits), ShouldBeLessThanOrEqualTo, 1.10*float64(atOnce))
		})
	}
}

// Guards against an accepted job of which nothing runs for long, because its tasks wait for a rack while most of the workers are free.
func TestWaitForRackEndsWhileMostOfTheRoomIsFree(t *testing.T) {
	for _, c := range []struct {
		situation string
		filling   int // tasks on the other racks
		runs      bool
	}{{"most of the room is free", 0, true}, {"most of the room is in use", 20, false}} {
		Convey("Given a full rack whose tasks go on for long, and "+c.situation, t, func() {
			sim := newRackSimulation(75, 3)
			sim.taskRunTime = time.Minute
			first, second := onRack("r2", 16), onRack("r2", 4)
			first.Steps[0].Estimate, second.Steps[0].Estimate = 20*time.Second, 20*time.Second
			sim.submit("first", first)
			if c.filling > 0 {
				filling := testSpec(c.filling)
				filling.Steps[0].Estimate = 20 * time.Second
				sim.submit("filling", filling)
			}
			sim.run(time.Second)
			So(sim.racksOf("first"), ShouldResemble, map[string]int{"r2": 16})
			sim.submit("second", second)
			sim.run(maxIdleRackWait - 100*time.Millisecond)
			So(sim.racksOf("second"), ShouldBeEmpty)
			sim.run(600 * time.Millisecond)
			So(len(sim.racksOf("second")) > 0, ShouldEqual, c.runs)
			So(sim.violations, ShouldBeEmpty)
		})
	}
}
