package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

// inDomain runs a test on a domain of two nodes in virtual time and checks the oracle at its end.
func inDomain(t *testing.T, workers int, truth func(platform.StartRequest) standin.Truth, body func(t *testing.T, d *oneDomain)) {
	synctest.Test(t, func(t *testing.T) {
		d := newOneDomain(workers, units.Resources{MilliProcessors: 8000, MemoryMiB: 4000}, truth)
		d.start("n1")
		d.start("n2")
		time.Sleep(5 * time.Second)
		body(t, d)
		if faults := d.oracle.faults; len(faults) > 0 {
			t.Error(strings.Join(faults, "\n"))
		}
		d.stop()
	})
}

// states counts the tasks of a job by state, as the owner of each sees it.
func (d *oneDomain) states(job string) map[string]int {
	seen := make(map[string]string)
	for _, n := range d.nodes {
		for _, row := range n.Tasks() {
			if task.KindOf(row.ID) != job || row.State == string(task.Placed) || strings.Contains(row.Reason, "waits under node") {
				continue
			}
			seen[row.ID] = row.State
		}
	}
	count := make(map[string]int)
	for _, state := range seen {
		count[state]++
	}
	return count
}

// starts returns when the attempts of a job truly started after a time, in order.
func (d *oneDomain) starts(job string, after time.Time) (waits []time.Duration) {
	d.oracle.mu.Lock()
	defer d.oracle.mu.Unlock()
	for _, r := range d.oracle.runs {
		if task.KindOf(r.run.Task) == job {
			waits = append(waits, r.at.Sub(after))
		}
	}
	slices.Sort(waits)
	return waits
}

func TestUrgentWorkMakesRoom(t *testing.T) {
	inDomain(t, 4, steadyTruth(10*time.Minute), func(t *testing.T, d *oneDomain) {
		full := jobText("full", "t", "batch", 16, 2000, 100, true)
		d.publish(t, manifestText(100000, full))
		time.Sleep(30 * time.Second)
		if got := d.states("full"); got["running"] != 16 {
			t.Fatalf("the workers are not full: %v", got)
		}
		asked := time.Now()
		d.publish(t, manifestText(100000, full, jobText("urgent", "t", "urgent", 8, 2000, 100, false)))
		time.Sleep(20 * time.Second)
		waits := d.starts("urgent", asked)
		if len(waits) != 8 || waits[7] > 5200*time.Millisecond {
			t.Errorf("urgent tasks started after %v", waits)
		}
		t.Logf("urgent work on a full fleet started after %v", waits)
		for id, checkpoint := range d.oracle.evicted() {
			if checkpoint == "" {
				t.Errorf("%s was stopped before its checkpoint was confirmed", id)
			}
		}
		time.Sleep(40 * time.Minute)
		if got := d.states("full"); got["finished"] != 16 {
			t.Errorf("evicted work did not finish: %v", got)
		}
		if runs := len(d.starts("full", asked)); runs != 24 {
			t.Errorf("16 tasks with 8 evictions ran in %d attempts", runs)
		}
	})
}

// TestLostStartReplies loses the replies of all calls while tasks are started.
func TestLostStartReplies(t *testing.T) {
	inDomain(t, 3, steadyTruth(time.Minute), func(t *testing.T, d *oneDomain) {
		for _, agent := range d.agent {
			agent.DropReplies(6)
		}
		d.publish(t, manifestText(100000, jobText("once", "t", "batch", 12, 2000, 100, false)))
		time.Sleep(10 * time.Minute)
		if runs := len(d.oracle.runs); runs != 12 {
			t.Errorf("12 tasks ran in %d attempts", runs)
		}
		if got := d.states("once"); got["finished"] != 12 {
			t.Errorf("after lost replies: %v", got)
		}
	})
}

// TestSlowLogKeepsReservations publishes jobs while placements are under way in a slow log.
func TestSlowLogKeepsReservations(t *testing.T) {
	for _, delay := range []time.Duration{60, 100, 150, 250} {
		inDomain(t, 2, steadyTruth(20*time.Second), func(t *testing.T, d *oneDomain) {
			d.log.SetDelay(delay * time.Millisecond)
			var jobs []string
			for i := range 6 {
				jobs = append(jobs, jobText(fmt.Sprintf("j%d", i), "t", "batch", 5, 2000, 100, false))
				d.publish(t, manifestText(100000, jobs...))
			}
			time.Sleep(5 * time.Minute)
			if got := d.states("j5"); got["finished"] != 5 {
				t.Errorf("the last job: %v", got)
			}
		})
	}
}

// TestCancelledWhilePlacing drops a job while its placements are under way in a slow log.
func TestCancelledWhilePlacing(t *testing.T) {
	for _, delay := range []time.Duration{50, 100, 200, 300} {
		inDomain(t, 2, steadyTruth(time.Hour), func(t *testing.T, d *oneDomain) {
			d.log.SetDelay(delay * time.Millisecond)
			d.publish(t, manifestText(100000, jobText("dropped", "t", "batch", 8, 2000, 100, false)))
			d.publish(t, manifestText(100000))
			time.Sleep(time.Minute)
			for name, n := range d.nodes {
				if rows := n.Tasks(); len(rows) != 0 {
					t.Errorf("delay %d ms: %s still has %d rows, the first is %s", delay, name, len(rows), rows[0].State)
				}
			}
		})
	}
}

// TestCancelledWhileWorkersAreDown loses the first stop of every task.
func TestCancelledWhileWorkersAreDown(t *testing.T) {
	inDomain(t, 4, steadyTruth(time.Hour), func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(100000, jobText("dropped", "t", "batch", 16, 2000, 100, false)))
		time.Sleep(30 * time.Second)
		for _, agent := range d.agent {
			agent.SetDown(true)
		}
		d.publish(t, manifestText(100000))
		time.Sleep(400 * time.Millisecond)
		for _, agent := range d.agent {
			agent.SetDown(false)
		}
		time.Sleep(8 * time.Second)
		if open := len(d.oracle.open); open != 0 {
			t.Errorf("%d cancelled tasks still run", open)
		}
	})
}

func TestWaitingTasksFindRoomAtSiblings(t *testing.T) {
	inDomain(t, 4, steadyTruth(10*time.Minute), func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(100000, jobText("exact", "t", "batch", 8, 4000, 100, false)))
		time.Sleep(15 * time.Second)
		if got := d.states("exact"); got["running"] != 8 {
			t.Errorf("tasks wait although a sibling has room: %v", got)
		}
	})
}

func TestImpossibleTasksAreReportedAndHoldNobodyUp(t *testing.T) {
	inDomain(t, 2, steadyTruth(20*time.Second), func(t *testing.T, d *oneDomain) {
		accelerated := strings.Replace(jobText("accelerated", "t", "urgent", 2, 1000, 100, false), `"accelerators": 0`, `"accelerators": 1`, 1)
		d.publish(t, manifestText(16000,
			jobText("huge", "t", "urgent", 2, 9000, 100, false), accelerated,
			jobText("unpaid", "empty", "urgent", 2, 1000, 100, false),
			jobText("small", "t", "spare", 4, 1000, 100, false)))
		time.Sleep(5 * time.Second)
		for id, reason := range map[string]string{
			"huge@1/0": "no worker is large enough", "accelerated@1/1": "no worker has 1 accelerators", "unpaid@1/0": "quota is zero",
		} {
			for name, n := range d.nodes {
				if e, known := n.Explain(id); !known || !e.Never || !strings.Contains(e.Summary, reason) {
					t.Errorf("%s says of %s: never %v, %s", name, id, e.Never, e.Summary)
				}
			}
		}
		if got := d.states("small"); got["running"] != 4 {
			t.Errorf("tasks behind impossible ones: %v", got)
		}
	})
}

func TestQuotaHoldsOverTheNodesOfADomain(t *testing.T) {
	inDomain(t, 4, steadyTruth(20*time.Second), func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(6000, jobText("many", "t", "batch", 12, 2000, 100, false)))
		for range 600 {
			time.Sleep(200 * time.Millisecond)
			d.oracle.mu.Lock()
			running := len(d.oracle.open)
			d.oracle.mu.Unlock()
			if running > 3 {
				t.Fatalf("%d tasks of 2000 run at once, the quota is 6000", running)
			}
		}
		if got := d.states("many"); got["finished"] != 12 {
			t.Errorf("after two minutes: %v", got)
		}
	})
}

func TestBadWorkerAndBadJobAreToldApart(t *testing.T) {
	bad := func(req platform.StartRequest) standin.Truth {
		return standin.Truth{RunTime: 2 * time.Second, Usage: req.Size, Fails: task.KindOf(req.Run.Task) == "bad"}
	}
	inDomain(t, 5, bad, func(t *testing.T, d *oneDomain) {
		d.agent["w0"].FailEverything()
		d.publish(t, manifestText(100000, jobText("good", "t", "batch", 60, 2000, 100, false), jobText("bad", "t", "batch", 2, 1000, 100, false)))
		time.Sleep(20 * time.Minute)
		if got := d.states("good"); got["finished"] != 60 {
			t.Errorf("good tasks: %v", got)
		}
		if got := d.states("bad"); got["failed"] != 2 {
			t.Errorf("bad tasks: %v", got)
		}
		onBad := 0
		for _, r := range d.oracle.runs {
			if r.worker == "w0" {
				onBad++
			}
		}
		if onBad > 12 {
			t.Errorf("%d attempts went to the worker that fails every task", onBad)
		}
		for _, n := range d.nodes {
			for _, id := range []string{"w1", "w2", "w3", "w4"} {
				if rate := n.engine.outcomes.State(id, time.Now()); rate != 0 {
					t.Errorf("good worker %s is in state %v", id, rate)
				}
			}
		}
	})
}

func TestLeavingWorkerIsVacated(t *testing.T) {
	inDomain(t, 3, steadyTruth(4*time.Minute), func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(100000, jobText("moves", "t", "batch", 6, 2000, 100, true)))
		time.Sleep(time.Minute)
		d.list.SetState("w0", platform.Leaving)
		time.Sleep(20 * time.Second)
		for _, run := range d.oracle.open {
			if run.worker == "w0" {
				t.Errorf("%v still runs on the leaving worker", run.run)
			}
		}
		time.Sleep(10 * time.Minute)
		if got := d.states("moves"); got["finished"] != 6 {
			t.Errorf("after the move: %v", got)
		}
	})
}

// noisyLatency is 20 ms alone and 60 ms more for each noisy run at full speed.
func noisyLatency(run platform.Run, others []platform.Run) time.Duration {
	if task.KindOf(run.ID.Task) != "board" {
		return 0
	}
	latency := 20 * time.Millisecond
	for _, o := range others {
		if task.KindOf(o.ID.Task) == "noisy" && !o.State.Final() {
			latency += time.Duration(o.Throttle * float64(60*time.Millisecond))
		}
	}
	return latency
}

const boardService = `{"name": "board", "team": "t", "path_prefix": "/b/", "instances": 2, "slots": 1, "connections": 1,
 "size": {"milli_processors": 1000, "memory_mib": 10, "accelerators": 0}, "latency_target": "70ms", "timeout": "1s",
 "requests": [], "limits": {}}`

// TestNoiseIsThrottled lets noisy tasks arrive beside a service and watches the latency that the workers
// report.
func TestNoiseIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newNoisyDomain(2, units.Resources{MilliProcessors: 8000, MemoryMiB: 4000}, steadyTruth(20*time.Minute), noisyLatency)
		d.start("n1")
		d.start("n2")
		time.Sleep(5 * time.Second)
		document := manifestText(100000, jobText("noisy", "t", "batch", 6, 2000, 100, true))
		d.publish(t, strings.Replace(document, `"services": []`, `"services": [`+boardService+`]`, 1))
		time.Sleep(20 * time.Second)
		over := 0
		for range 300 {
			time.Sleep(time.Second)
			for _, agent := range d.agent {
				report, _ := agent.Report(t.Context())
				for _, run := range report.Runs {
					if run.Latency > 70*time.Millisecond {
						over++
					}
				}
			}
		}
		if over > 20 {
			t.Errorf("the instances were past their target for %d of 600 seconds", over)
		}
		if got := d.states("noisy"); got["running"] == 0 {
			t.Errorf("no noisy task runs: %v", got)
		}
		if got := d.states("board"); got["running"] != 2 {
			t.Errorf("service: %v", got)
		}
		if len(d.oracle.faults) > 0 {
			t.Error(d.oracle.faults)
		}
		d.stop()
	})
}

// TestRackLoss loses half of the workers at once and checks that urgent work is started first and nothing
// is lost.
func TestRackLoss(t *testing.T) {
	inDomain(t, 6, steadyTruth(4*time.Minute), func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(100000,
			jobText("first", "t", "urgent", 8, 2000, 100, false), jobText("later", "t", "spare", 16, 2000, 100, true)))
		time.Sleep(time.Minute)
		for _, id := range []string{"w0", "w1", "w2"} {
			d.oracle.loses(id)
			d.agent[id].SetDown(true)
			d.agent[id].Close()
			d.list.Remove(id)
		}
		time.Sleep(time.Minute)
		d.oracle.mu.Lock()
		urgent := 0
		for id := range d.oracle.open {
			if task.KindOf(id) == "first" {
				urgent++
			}
		}
		d.oracle.mu.Unlock()
		if urgent != 8 {
			t.Errorf("%d of 8 urgent tasks run a minute after the loss", urgent)
		}
		time.Sleep(30 * time.Minute)
		for job, want := range map[string]int{"first": 8, "later": 16} {
			if got := d.states(job); got["finished"] != want {
				t.Errorf("%s: %v", job, got)
			}
		}
	})
}

func TestOutgrownTasks(t *testing.T) {
	outgrows := func(req platform.StartRequest) standin.Truth {
		truth := standin.Truth{RunTime: time.Minute, Usage: req.Size}
		if task.KindOf(req.Run.Task) == "under" {
			truth.Usage = units.Resources{MilliProcessors: 1500, MemoryMiB: 900}
		}
		return truth
	}
	inDomain(t, 4, outgrows, func(t *testing.T, d *oneDomain) {
		d.publish(t, manifestText(100000, jobText("under", "t", "batch", 12, 1000, 600, true)))
		time.Sleep(15 * time.Second)
		for id, agent := range d.agent {
			report, _ := agent.Report(t.Context())
			for _, run := range report.Runs {
				if !run.State.Final() && run.Size.MemoryMiB < run.Usage.MemoryMiB {
					t.Errorf("%v on %s uses %v of %v", run.ID, id, run.Usage, run.Size)
				}
			}
		}
		time.Sleep(20 * time.Minute)
		if got := d.states("under"); got["finished"] != 12 {
			t.Errorf("tasks that outgrew their size: %v", got)
		}
	})
}

func TestPromisesInStatus(t *testing.T) {
	inDomain(t, 1, steadyTruth(time.Minute), func(t *testing.T, d *oneDomain) {
		promises := d.nodes["n1"].Status().Promises
		if len(promises) < 6 {
			t.Errorf("promises: %v", promises)
		}
		for _, p := range promises {
			if p.Broken != 0 {
				t.Errorf("broken at the start: %v", p)
			}
		}
	})
}
