package node

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// evacuatedManifest returns the manifest of manifestJSON in which failure domain a is evacuated.
func evacuatedManifest(jobs ...string) string {
	return strings.Replace(manifestJSON(100000, jobs...), `"region": "r"`, `"region": "r", "evacuated": true`, 1)
}

// Guards against starts in an evacuated failure domain, against an evacuation that stops running tasks, and against tasks that
// do not start after the withdrawal.
func TestEvacuatedDomainStartsNothing(t *testing.T) {
	runInDomain(t, 4, fixedRunTime(2*time.Minute), func(t *testing.T, d *testDomain) {
		before, after := jobJSON("before", "t", "batch", 4, 1000, 100, false), jobJSON("after", "t", "urgent", 4, 1000, 100, false)
		d.publish(t, manifestJSON(100000, before))
		time.Sleep(20 * time.Second)
		if got := d.stateCounts("before"); got["running"] != 4 {
			t.Fatalf("the tasks do not run: %v", got)
		}
		d.publish(t, evacuatedManifest(before, after))
		time.Sleep(3 * time.Minute)
		if starts := d.startDelays("after", time.Now()); len(starts) > 0 {
			t.Errorf("%d tasks started in an evacuated failure domain", len(starts))
		}
		for _, row := range d.nodes["n1"].Tasks() {
			if strings.HasPrefix(row.ID, "after") && (row.Attempt > 0 || !strings.Contains(row.Reason, "waits under") && !strings.Contains(row.Reason, "evacuated")) {
				t.Errorf("%s was placed %d times; reason: %s", row.ID, row.Attempt, row.Reason)
			}
		}
		if got := d.stateCounts("before"); got["finished"] != 4 {
			t.Errorf("running tasks did not finish: %v", got)
		}
		if starts := d.startDelays("before", time.Now()); len(starts) != 4 {
			t.Errorf("4 tasks ran in %d attempts", len(starts))
		}
		d.killNode["n1"]()
		d.killNode["n2"]()
		d.start("n1")
		d.start("n2")
		time.Sleep(time.Minute)
		if starts := d.startDelays("after", time.Now()); len(starts) > 0 {
			t.Errorf("%d tasks started in an evacuated failure domain after a restart of all nodes", len(starts))
		}
		d.publish(t, manifestJSON(100000, before, after))
		time.Sleep(3 * time.Minute)
		if got := d.stateCounts("after"); got["finished"] != 4 {
			t.Errorf("tasks did not run after the withdrawal: %v", got)
		}
	})
}

// Guards against a placed task that is started, and against an unanswered start that is repeated, after the evacuation.
func TestEvacuationWithdrawsStarts(t *testing.T) {
	runInDomain(t, 3, fixedRunTime(time.Minute), func(t *testing.T, d *testDomain) {
		job := jobJSON("j", "t", "batch", 6, 1000, 100, false)
		for _, w := range d.workersByID {
			w.DropReplies(4)
		}
		d.publish(t, manifestJSON(100000, job))
		time.Sleep(300 * time.Millisecond) // orders are on their way, or without a reply
		d.publish(t, evacuatedManifest(job))
		time.Sleep(2 * time.Second)
		evacuated := time.Now()
		time.Sleep(5 * time.Minute)
		for _, delay := range d.startDelays("j", evacuated) {
			if delay > 0 {
				t.Errorf("a task started %v after the evacuation was known", delay)
			}
		}
		started := len(d.startDelays("j", evacuated))
		if got := d.stateCounts("j"); got["finished"] != started || got["waiting"] != 6-started {
			t.Errorf("%d tasks started before the evacuation; states: %v", started, got)
		}
		d.publish(t, manifestJSON(100000, job))
		time.Sleep(5 * time.Minute)
		if got := d.stateCounts("j"); got["finished"] != 6 {
			t.Errorf("tasks did not finish after the withdrawal: %v", got)
		}
	})
}

// Guards against a task that is moved within an evacuated failure domain: it would be stopped, and could not start again.
func TestNoTaskIsMovedInEvacuatedDomain(t *testing.T) {
	runInDomain(t, 2, fixedRunTime(2*time.Minute), func(t *testing.T, d *testDomain) {
		job := jobJSON("j", "t", "batch", 2, 1000, 100, false)
		d.publish(t, manifestJSON(100000, job))
		time.Sleep(20 * time.Second)
		d.publish(t, evacuatedManifest(job))
		time.Sleep(2 * time.Second)
		for _, n := range d.nodes {
			n.query(func(now time.Time) {
				for _, row := range n.engine.taskTable.All() {
					n.engine.evict(row, reasonInterference, now)
				}
			})
		}
		time.Sleep(3 * time.Minute)
		if got := d.stateCounts("j"); got["finished"] != 2 {
			t.Errorf("running tasks did not finish: %v", got)
		}
	})
}

// Guards against a start request that is repeated after the evacuation: until then all requests get no reply.
func TestEvacuationEndsRepeatedStarts(t *testing.T) {
	var calls atomic.Int32
	synctest.Test(t, func(t *testing.T) {
		d := newTestDomain(2, units.Resources{MilliProcessors: 8000, MemoryMiB: 4000}, fixedRunTime(time.Minute))
		d.beforeStart = func(string) error {
			calls.Add(1)
			return verdict.New(verdict.MayHaveRun, "no_reply", nil)
		}
		d.start("n1")
		time.Sleep(5 * time.Second)
		job := jobJSON("j", "t", "batch", 2, 1000, 100, false)
		d.publish(t, manifestJSON(100000, job))
		time.Sleep(5 * time.Second)
		if calls.Load() < 4 {
			t.Errorf("%d start requests before the evacuation, want repeated ones", calls.Load())
		}
		d.publish(t, evacuatedManifest(job))
		time.Sleep(time.Second)
		before := calls.Load()
		time.Sleep(time.Minute)
		if repeated := calls.Load() - before; repeated > 0 {
			t.Errorf("%d start requests in an evacuated failure domain", repeated)
		}
		if got := d.stateCounts("j"); got["waiting"] != 2 {
			t.Errorf("the tasks do not wait for the withdrawal: %v", got)
		}
		d.stop()
	})
}

// Guards against starts by a restarted node that knows an older manifest only.
func TestNothingStartsBeforeManifestStreamIsRead(t *testing.T) {
	e := newTestEngine(t, "n1")
	if !e.withholdsStarts() {
		t.Error("a node that has not read the manifest stream may start tasks")
	}
	e.manifestCaughtUp = true
	if e.withholdsStarts() {
		t.Error("a node that has read the manifest stream may start nothing")
	}
}

// Guards against tasks of a lost failure domain that are moved to an evacuated one, where they could not start.
func TestNoTaskMovesToEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTwoDomainDeployment(0)
		a, killA := d.start("a", 1)
		b, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		publish := func(n *Node, document string) {
			decision, err := n.Publish(context.Background(), operator.Publication{Document: document, Replaces: n.Status().ManifestVersion})
			if err != nil || !decision.Accepted {
				t.Fatalf("not accepted: %+v, %v", decision, err)
			}
		}
		evacuated := strings.Replace(moveManifest, `"name": "b",`, `"name": "b", "evacuated": true,`, 1)
		if evacuated == moveManifest {
			t.Fatal("the manifest has no failure domain b")
		}
		publish(a, evacuated)
		time.Sleep(30 * time.Second)
		killA()
		time.Sleep(7 * time.Minute)
		if got := stateOf(b, "moves@1/0"); got != "" || len(d.runCounts()) > 0 {
			t.Errorf("the task is %q in the evacuated domain; runs: %v", got, d.runCounts())
		}
		publish(b, moveManifest)
		time.Sleep(3 * time.Minute)
		if len(d.runCounts()) != 3 {
			t.Errorf("runs after the withdrawal: %v, want 3", d.runCounts())
		}
		killB()
	})
}

// tasksByDomain counts the runs of each job by failure domain.
func (d *twoDomainDeployment) tasksByDomain() map[string]int {
	count := make(map[string]int)
	for key, runs := range d.runCounts() {
		name, _, _ := strings.Cut(key, "@")
		count[name] += runs
	}
	return count
}

// Guards against LOST: tasks that belong to an evacuated failure domain and may run elsewhere must run where there is room, once, and
// the others after the withdrawal.
func TestWaitingTasksLeaveEvacuatedDomain(t *testing.T) {
	evacuated := strings.Replace(moveManifest, `"name": "a",`, `"name": "a", "evacuated": true,`, 1)
	for _, c := range []struct {
		name                                        string
		milliProcessorsInB                          int64
		quota                                       string
		restart                                     bool
		movedDuring, movedAfterwards, ranAfterwards int
	}{
		{"room elsewhere", 8000, "100000", false, 3, 3, 1},
		{"room for one at a time", 1000, "100000", false, 3, 3, 1},
		{"no room elsewhere", 500, "100000", false, 0, 0, 4},
		{"no quota elsewhere", 8000, "1999", false, 0, 0, 4},
		{"both nodes restart", 8000, "100000", true, 3, 3, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTwoDomainDeployment(8000)
				d.addWorker("b", c.milliProcessorsInB)
				a, killA := d.start("a", 1)
				b, killB := d.start("b", 1)
				time.Sleep(5 * time.Second)
				publish := func(document string) {
					document = strings.Replace(document, `"milli_processors": 100000`, `"milli_processors": `+c.quota, 1)
					decision, err := a.Publish(context.Background(), operator.Publication{Document: document, Replaces: a.Status().ManifestVersion})
					if err != nil || !decision.Accepted {
						t.Fatalf("not accepted: %+v, %v", decision, err)
					}
				}
				publish(evacuated)
				if c.restart {
					time.Sleep(1200 * time.Millisecond)
					killA()
					killB()
					a, killA = d.start("a", 2)
					b, killB = d.start("b", 2)
				}
				time.Sleep(2 * time.Minute)
				if got := d.tasksByDomain(); got["b moves"] != c.movedDuring || got["a moves"]+got["a stays"]+got["b stays"] > 0 {
					t.Errorf("runs during the evacuation: %v, want %d of moves in b", got, c.movedDuring)
				}
				publish(moveManifest)
				time.Sleep(2 * time.Minute)
				if got := d.tasksByDomain(); got["b moves"] != c.movedAfterwards || got["a moves"]+got["a stays"] != c.ranAfterwards {
					t.Errorf("runs after the withdrawal: %v, want %d in b and %d in a", got, c.movedAfterwards, c.ranAfterwards)
				}
				if state := stateOf(b, "moves@1/0"); c.movedDuring > 0 && state != "finished" {
					t.Errorf("the transferred task is %q", state)
				}
				killA()
				killB()
			})
		})
	}
}
