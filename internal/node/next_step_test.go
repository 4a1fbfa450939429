package node

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// withService adds a service board of the given number of instances to a manifest.
func withService(document string, instances int) string {
	service := strings.Replace(boardService, `"instances": 2`, fmt.Sprintf(`"instances": %d`, instances), 1)
	return strings.Replace(document, `"services": []`, `"services": [`+service+`]`, 1)
}

func serviceManifest(instances int) string { return withService(manifestJSON(100000), instances) }

// Guards against LOST: a service instance that is withdrawn and declared again must not stay cancelled.
func TestInstanceDeclaredAgainRuns(t *testing.T) {
	for _, wait := range []time.Duration{100 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second, 20 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			runInDomain(t, 3, fixedRunTime(time.Hour), func(t *testing.T, d *testDomain) {
				d.publish(t, serviceManifest(4))
				time.Sleep(20 * time.Second)
				d.publish(t, serviceManifest(1))
				time.Sleep(wait)
				d.publish(t, serviceManifest(4))
				time.Sleep(30 * time.Second)
				if got := d.stateCounts("board"); got["running"] != 4 {
					t.Errorf("instances by state: %v, want 4 running", got)
				}
			})
		})
	}
}

// callCounter counts the stop requests to workers and the leases that are renewed.
type callCounter struct {
	directWorkers
	stops, renewals atomic.Int32
}

func (w *callCounter) Renew(_ context.Context, _ string, req platform.RenewRequest) (platform.Report, error) {
	w.renewals.Add(int32(len(req.Runs)))
	return platform.Report{}, context.Canceled
}

func (w *callCounter) Stop(context.Context, string, platform.Offset, platform.RunID) error {
	w.stops.Add(1)
	return nil
}

// Guards against LOST: an owner that has not read the manifest must neither stop a run of a job that it does not know nor end it.
func TestUnknownRunIsKeptUntilManifestIsRead(t *testing.T) {
	for _, state := range []platform.RunState{platform.RunRunning, platform.RunStopped, platform.RunFinished} {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprint(state, " read ", read), func(t *testing.T) {
				e, now := newTestEngine(t, "a"), time.Now()
				workers := &callCounter{}
				e.workers, e.manifestCaughtUp = workers, read
				w := openAttemptOfUnknownTask(e, "j@1/0", now)
				report := platform.Report{Worker: "w", Capacity: units.Resources{MilliProcessors: 8000, MemoryMiB: 1000}}
				report.Runs = []platform.Run{{ID: platform.RunID{Task: "j@1/0", Attempt: 1}, State: state}}
				e.applyReport(w, report, now, false)
				e.renew(w, now)
				time.Sleep(20 * time.Millisecond)
				if renewed := workers.renewals.Load() > 0; renewed == read {
					t.Errorf("lease renewed: %v, want %v", renewed, !read)
				}
				acted := workers.stops.Load() > 0 || e.domainWriter.UnappendedCount() > 0
				if acted != read {
					t.Errorf("stopped or ended: %v, want %v", acted, read)
				}
			})
		}
	}
}

// openAttemptOfUnknownTask makes the engine own the shard of worker w, with an open attempt of a task that no manifest names.
func openAttemptOfUnknownTask(e *engine, id string, now time.Time) *worker.Worker {
	shard := e.ledger.ShardOf(id)
	w := &worker.Worker{ID: "w", Address: "w", Shard: shard}
	e.workerTable.Put(w)
	e.caughtUp = true
	for _, r := range e.owner.Decide(e.ledger, ownCandidate(e), now) {
		if r.GetClaim().GetShard() == shard {
			results := e.ledger.Apply(1, batchOf(e, 1, r), now)
			e.owner.Observe(e.ledger, results, now, true)
		}
	}
	token := e.owner.Token(shard)
	placement := &record.Placement{Task: id, Attempt: 1, Worker: "w", From: token, To: token}
	for _, r := range e.ledger.Apply(2, batchOf(e, 2, &record.Record{Body: &record.Record_Placement{Placement: placement}}), now) {
		e.applyResult(r, now)
	}
	w.Token = platform.Offset(token.GetToken())
	return w
}

// ownCandidate returns the engine's node as the only one that may claim shards.
func ownCandidate(e *engine) ownership.Candidates {
	return ownership.Candidates{Live: []string{e.self.Node}}
}

// batchOf returns a batch of the engine's node with one record.
func batchOf(e *engine, sequence uint64, r *record.Record) *record.Batch {
	return &record.Batch{Node: e.self.Node, Incarnation: e.self.Incarnation, Sequence: sequence, Records: []*record.Record{r}}
}

// Guards against LOST: an owner that knows no manifest with a service must not end an instance as finished, since the ledger then
// accepts no placement of it any more.
func TestOutcomeOfUnknownTask(t *testing.T) {
	for id, want := range map[string]record.Outcome{"board/north/0": record.Outcome_OUTCOME_FAILED, "j@1/0": record.Outcome_OUTCOME_FINISHED} {
		e, now, log := newTestEngine(t, "a"), time.Now(), fake.NewLog()
		e.domainWriter = journal.NewWriter(log, "s", "a", 1, journal.NewMetrics(metrics.NewSet(), "s"), zap.NewNop())
		go func() { _ = e.domainWriter.Run(t.Context()) }()
		e.manifestCaughtUp = true
		w := openAttemptOfUnknownTask(e, id, now)
		run := platform.Run{ID: platform.RunID{Task: id, Attempt: 1}, State: platform.RunFinished}
		e.applyReport(w, platform.Report{Worker: "w", Runs: []platform.Run{run}}, now, false)
		page, err := log.Read(t.Context(), "s", 1, 5*time.Second)
		if err != nil || len(page.Entries) != 1 {
			t.Fatalf("%s: read %d entries, %v", id, len(page.Entries), err)
		}
		batch, err := record.Decode(page.Entries[0].Data)
		if got := batch.GetRecords()[0].GetEnd().GetOutcome(); err != nil || got != want {
			t.Errorf("%s ends as %v, want %v (%v)", id, got, want, err)
		}
	}
}

// putWorker lists the worker of a test domain with a state.
func (d *testDomain) putWorker(id string, state platform.VMState) {
	d.list.Put(platform.VM{ID: id, Kind: platform.WorkerVM, State: state, FailureDomain: "a", Rack: "r", Address: id})
}

// Guards against LOST: tasks in shards of a node without usable workers must move once a worker of another node can be used again.
func TestTasksMoveToWorkerThatIsUsableAgain(t *testing.T) {
	for _, id := range []string{"w0", "w1", "w2"} {
		t.Run(id, func(t *testing.T) {
			runInDomain(t, 3, fixedRunTime(time.Hour), func(t *testing.T, d *testDomain) {
				for id := range d.workersByID {
					d.putWorker(id, platform.Leaving)
				}
				time.Sleep(30 * time.Second)
				d.publish(t, manifestJSON(100000, jobJSON("j", "t", "batch", 8, 1000, 100, false)))
				time.Sleep(20 * time.Second)
				d.putWorker(id, platform.Live)
				time.Sleep(45 * time.Second)
				if got := d.stateCounts("j"); got["running"] != 8 {
					t.Errorf("tasks by state: %v, want 8 running", got)
				}
			})
		})
	}
}

// Guards against LOST: a worker that was in quarantine when its shard passed to another node must become a target of transfers again.
func TestQuarantineOfWorkersOfOtherNodesEnds(t *testing.T) {
	e, now := newTestEngine(t, "a"), time.Now()
	w := &worker.Worker{ID: "w", Suspect: true, Probation: true}
	e.workerTable.Put(w)
	e.fenceWorkers(now)
	if w.Suspect || w.Probation {
		t.Error("the worker stays in quarantine for this node")
	}
}

// Guards against LOST: tasks of a lost domain that no worker of the receiving one can ever take must neither move nor keep others there.
func TestImpossibleTasksDoNotBlockFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTwoDomainDeployment(0)
		a, killA := d.start("a", 1)
		b, killB := d.start("b", 1)
		time.Sleep(5 * time.Second)
		impossible := `"jobs": [{"name": "big", "team": "t", "tasks": 70,
			"size": {"milli_processors": 9000, "memory_mib": 10, "accelerators": 0}, "run_time": "1s", "deadline": "24h",
			"priority": "batch", "home_domain": "a", "on_domain_loss": "run_elsewhere", "checkpoints": false, "max_failures": 3},`
		document := strings.Replace(moveManifest, `"jobs": [`, impossible, 1)
		if _, err := a.Publish(context.Background(), operator.Publication{Document: document}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		killA()
		time.Sleep(7 * time.Minute)
		if got := d.tasksByDomain(); got["b moves"] != 3 {
			t.Errorf("runs: %v, want 3 of moves in b", got)
		}
		if got := stateOf(b, "big@1/0"); got != "" {
			t.Errorf("a task that cannot run in b was moved there and is %q", got)
		}
		killB()
	})
}

// Guards against LOST: an open attempt without a reservation is in no report's comparison, so nothing would end it.
func TestPlacedTaskWithoutReservationRuns(t *testing.T) {
	runInDomain(t, 2, fixedRunTime(time.Minute), func(t *testing.T, d *testDomain) {
		for _, w := range d.workersByID {
			w.SetDown(true)
		}
		d.publish(t, manifestJSON(100000, jobJSON("j", "t", "batch", 4, 1000, 100, false)))
		time.Sleep(500 * time.Millisecond)
		placed := 0
		for _, n := range d.nodes {
			n.query(func(now time.Time) {
				for _, state := range []task.State{task.Starting, task.Placed} {
					for _, row := range n.engine.taskTable.InState(state) {
						placed++
						row.SetState(task.Placed, "", now)
						n.engine.workerTable.Release(n.engine.workerTable.Get(row.Worker), row.RunID())
					}
				}
			})
		}
		for _, w := range d.workersByID {
			w.SetDown(false)
		}
		time.Sleep(3 * time.Minute)
		if got := d.stateCounts("j"); placed == 0 || got["finished"] != 4 {
			t.Errorf("%d reservations released; tasks by state: %v, want 4 finished", placed, got)
		}
	})
}

// Guards against LOST: the second of two equal placements is rejected, and must not take the reservation of the first.
func TestRejectedPlacementKeepsReservationOfOpenAttempt(t *testing.T) {
	e, now := newTestEngine(t, "a"), time.Now()
	w := openAttemptOfUnknownTask(e, "j@1/0", now)
	run := platform.RunID{Task: "j@1/0", Attempt: 1}
	if _, reserved := w.Reservation(run); !reserved {
		t.Error("the open attempt of an unknown task has no reservation")
	}
	token := e.owner.Token(w.Shard)
	placement := &record.Placement{Task: "j@1/0", Attempt: 1, Worker: "w", From: token, To: token}
	for _, r := range e.ledger.Apply(3, batchOf(e, 3, &record.Record{Body: &record.Record_Placement{Placement: placement}}), now) {
		e.applyResult(r, now)
	}
	if _, reserved := w.Reservation(run); !reserved {
		t.Error("a rejected placement took the reservation of the open attempt")
	}
}

// Guards against LOST and against tasks beyond a worker's capacity: a worker that the list has never shown has all its open attempts.
func TestUnlistedWorkerHasAllItsAttempts(t *testing.T) {
	e, now := newTestEngine(t, "a"), time.Now()
	w := openAttemptOfUnknownTask(e, "j@1/0", now)
	other := platform.RunID{}
	for i := 1; other.Task == ""; i++ {
		if id := fmt.Sprintf("j@1/%d", i); e.ledger.ShardOf(id) == w.Shard {
			other = platform.RunID{Task: id, Attempt: 1}
		}
	}
	token := e.owner.Token(w.Shard)
	placement := &record.Placement{Task: other.Task, Attempt: 1, Worker: "w", From: token, To: token}
	e.ledger.Apply(3, batchOf(e, 3, &record.Record{Body: &record.Record_Placement{Placement: placement}}), now)
	e.workerTable.Remove("w")
	e.applyVMList(nil, now)
	if got := e.workerTable.Get("w").ReservationCount(); got != 2 {
		t.Errorf("%d of 2 open attempts have a reservation", got)
	}
}

// Guards against LOST: claims that do not fit into the queue of the log must be made again.
func TestClaimsRefusedByFullQueueAreMadeAgain(t *testing.T) {
	e, now := newTestEngine(t, "a"), time.Now()
	e.caughtUp = true
	for e.domainWriter.Enqueue(&record.Record{Body: &record.Record_End{End: &record.End{Task: "j@1/0"}}}) {
		continue
	}
	e.updateClaims(now)
	if records := e.owner.Decide(e.ledger, ownCandidate(e), now); len(records) == 0 {
		t.Error("no shard is claimed again")
	}
}

// Guards against LOST: a failed task whose job gets a higher limit on failures must be started again by the owner that saw it fail.
func TestFailedTaskRunsAgainUnderHigherLimit(t *testing.T) {
	failing := func(req platform.StartRequest) fake.Behavior {
		behavior := fixedRunTime(time.Second)(req)
		behavior.Fails = req.Run.Attempt <= 3
		return behavior
	}
	runInDomain(t, 3, failing, func(t *testing.T, d *testDomain) {
		job := jobJSON("j", "t", "batch", 2, 1000, 100, false)
		d.publish(t, manifestJSON(100000, job))
		time.Sleep(3 * time.Minute)
		if got := d.stateCounts("j"); got["failed"] != 2 {
			t.Fatalf("tasks by state: %v, want 2 failed", got)
		}
		d.publish(t, manifestJSON(100000, strings.Replace(job, `"max_failures": 3`, `"max_failures": 5`, 1)))
		time.Sleep(3 * time.Minute)
		if got := d.stateCounts("j"); got["finished"] != 2 {
			t.Errorf("tasks by state: %v, want 2 finished", got)
		}
	})
}
