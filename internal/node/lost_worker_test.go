package node

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

const (
	// crashWindow is the longest time between the loss of a worker and the crash of its owner in these tests.
	crashWindow = 2 * time.Second
	// ownerLife is the time from the claim of a successor until it crashes.
	ownerLife = time.Second
	// claimRankDelay is the delay of a claim for each live node that ranks before the claimant.
	claimRankDelay = 300 * time.Millisecond
	// ticksToRun is the number of ticks from the end of a lease, or from the end of a claim, until what follows is read back from the log.
	ticksToRun = 5
)

// claimWait returns the longest time from the crash of an owner until one of the other nodes has claimed its shards.
func claimWait(s settings.Scheduling, nodes int) time.Duration {
	return lease.ObserverExpiry(time.Time{}, s.ClaimLease.Std()).Sub(time.Time{}) + time.Duration(nodes-1)*claimRankDelay + ticksToRun*s.Tick.Std()
}

// lostWorkerBound returns the longest time from the loss of a worker until its task runs again, if the owner crashes within crashWindow
// of the loss, and each of its successors but the last at ownerLife after its claim. A node that restarts reads of the absence only then.
func lostWorkerBound(s settings.Settings, nodes, crashes int, restarts bool) time.Duration {
	scheduling := s.Scheduling
	claimed := claimWait(scheduling, nodes)
	unlisted := crashWindow + s.Membership.ListPeriod.Std()
	former := scheduling.WorkerCallTimeout.Std() + scheduling.TaskLease.Std() + lease.DriftMargin(scheduling.TaskLease.Std())
	drift := time.Duration(crashes-1) * lease.DriftMargin(former)
	leasesEnd := max(claimed, unlisted) + former + drift
	if restarts {
		leasesEnd += time.Duration(crashes-1) * ownerLife
	}
	lastClaim := time.Duration(crashes)*claimed + time.Duration(crashes-1)*ownerLife
	contact := scheduling.WorkerCallTimeout.Std() + workerRetryDelay
	return crashWindow + max(leasesEnd, lastClaim+contact) + ticksToRun*scheduling.Tick.Std()
}

// Guards against a bound that grows by a whole task lease with each change of owner.
func TestLostWorkerBound(t *testing.T) {
	for _, c := range []struct {
		claimLease, taskLease time.Duration
		crashes               int
		restarts              bool
		want                  time.Duration
	}{
		{6 * time.Second, 15 * time.Second, 1, false, 27950 * time.Millisecond},
		{6 * time.Second, 15 * time.Second, 2, false, 28837500 * time.Microsecond},
		{6 * time.Second, 15 * time.Second, 3, false, 30600 * time.Millisecond},
		{6 * time.Second, 15 * time.Second, 3, true, 31725 * time.Millisecond},
		{2 * time.Second, 6 * time.Second, 1, false, 14800 * time.Millisecond},
		{2 * time.Second, 6 * time.Second, 3, false, 18 * time.Second},
	} {
		s := settings.Default()
		s.Scheduling.ClaimLease, s.Scheduling.TaskLease = units.Duration(c.claimLease), units.Duration(c.taskLease)
		if got := lostWorkerBound(s, 4, c.crashes, c.restarts); got != c.want {
			t.Errorf("claim lease %v, task lease %v, %d crashes: %v, want %v", c.claimLease, c.taskLease, c.crashes, got, c.want)
		}
	}
}

// ownerOf returns the name of the node that may act for a shard, or an empty string.
func (d *testDomain) ownerOf(shard uint32) (owner string) {
	for name, n := range d.nodes {
		n.query(func(now time.Time) {
			if _, held := n.engine.owner.Authority(shard, now); held {
				owner = name
			}
		})
	}
	return owner
}

// awaitOwner returns the node that may act for a shard once there is one.
func (d *testDomain) awaitOwner(shard uint32) string {
	for range 600 {
		if owner := d.ownerOf(shard); owner != "" {
			return owner
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// latestRun returns the newest run that a worker accepted.
func (o *oracle) latestRun() (run runRecord, count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.runs) == 0 {
		return runRecord{}, 0
	}
	return *o.runs[len(o.runs)-1], len(o.runs)
}

// Guards against LOST: the task of a worker that is lost about when its owner crashes runs again in time, whether or not its successors
// crash as well, and not before the lease on the lost worker has ended.
func TestTaskOfLostWorkerRunsInTimeAfterOwnerCrashes(t *testing.T) {
	for crashes := 1; crashes <= 3; crashes++ {
		for _, lead := range []time.Duration{-crashWindow, -700 * time.Millisecond, 300 * time.Millisecond, crashWindow} {
			for _, restarts := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d crashes, worker lost %v before the first, nodes restart %v", crashes, lead, restarts), func(t *testing.T) {
					runWithOneTask(t, func(t *testing.T, d *testDomain, first runRecord) {
						shard := failuredomain.ShardOf(first.worker)
						lostAt := d.crashAround(t, shard, first.worker, lead, restarts)
						for range crashes - 1 {
							owner := d.awaitOwner(shard)
							time.Sleep(ownerLife)
							d.crash(owner, restarts)
						}
						time.Sleep(time.Minute)
						second, runs := d.oracle.latestRun()
						bound := lostWorkerBound(settings.Default(), lostWorkerNodes, crashes, restarts)
						if again := second.start.Sub(lostAt); runs != 2 || again > bound {
							t.Errorf("%d runs, the last one %v after the loss of the worker, want 2 within %v", runs, again, bound)
						}
					})
				})
			}
		}
	}
}

// Guards against two runs at a time: a worker that was declared absent, and whose leases a successor then extended, must be waited for
// from the end of that owner's claim on.
func TestLeasesExtendedAfterAbsenceAreWaitedFor(t *testing.T) {
	for _, away := range []time.Duration{8 * time.Second, 10 * time.Second, 12 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			runWithOneTask(t, func(t *testing.T, d *testDomain, first runRecord) {
				shard := failuredomain.ShardOf(first.worker)
				d.crashAround(t, shard, first.worker, 300*time.Millisecond, false)
				time.Sleep(away)
				d.workersByID[first.worker].SetDown(false)
				d.putWorker(first.worker, platform.Live)
				time.Sleep(20 * time.Second)
				if _, runs := d.oracle.latestRun(); runs != 1 {
					t.Fatalf("the worker answers in time, but there are %d runs", runs)
				}
				d.crashAround(t, shard, first.worker, 300*time.Millisecond, false)
				time.Sleep(time.Minute)
				if _, runs := d.oracle.latestRun(); runs != 2 {
					t.Errorf("%d runs, want 2", runs)
				}
			})
		})
	}
}

// lostWorkerNodes is the number of nodes in runWithOneTask.
const lostWorkerNodes = 4

// runWithOneTask calls body in a domain of lostWorkerNodes nodes, with the run of the only task.
func runWithOneTask(t *testing.T, body func(t *testing.T, d *testDomain, first runRecord)) {
	runInDomain(t, 3, fixedRunTime(time.Hour), func(t *testing.T, d *testDomain) {
		d.start("n3")
		d.start("n4")
		time.Sleep(30 * time.Second)
		d.publish(t, manifestJSON(100000, jobJSON("j", "t", "batch", 1, 1000, 100, false)))
		time.Sleep(10 * time.Second)
		first, _ := d.oracle.latestRun()
		body(t, d, first)
	})
}

// crash kills a node and starts it again if it restarts.
func (d *testDomain) crash(node string, restarts bool) {
	d.killNode[node]()
	if restarts {
		d.start(node)
	}
}

// crashAround crashes the owner of a shard and cuts a worker off, the worker earlier by lead. What runs on the worker ends with its
// lease. It returns when the worker was lost.
func (d *testDomain) crashAround(t *testing.T, shard uint32, worker string, lead time.Duration, restarts bool) time.Time {
	owner := d.ownerOf(shard)
	if owner == "" {
		t.Fatal("nobody owns the shard of the worker")
	}
	if lead < 0 {
		d.crash(owner, restarts)
		time.Sleep(-lead)
	}
	d.workersByID[worker].SetDown(true)
	d.list.Remove(worker)
	lostAt := time.Now()
	if lead > 0 {
		time.Sleep(lead)
		d.crash(owner, restarts)
	}
	return lostAt
}

// Guards against two runs at a time: an owner that has declared a worker absent extends no lease there until it has read back that the
// absence is over, since its successor relies on that.
func TestNoLeaseIsExtendedOnWorkerThatIsDeclaredAbsent(t *testing.T) {
	e, now := newTestEngine(t, "a"), time.Now()
	workers := &callCounter{directWorkers: directWorkers{"w": fake.NewWorker(fake.WorkerOptions{ID: "w"})}}
	e.workers = workers
	id := ""
	for i := 0; id == "" || failuredomain.ShardOf(id) != failuredomain.ShardOf("w"); i++ {
		id = fmt.Sprintf("j@1/%d", i)
	}
	w := openAttemptOfUnknownTask(e, id, now)
	row := &task.Task{State: task.Running, Attempt: 1, Worker: "w"}
	row.ID = id
	e.taskTable.Put(row)
	w.UnlistedSince = now
	// extends reports whether the worker may be called in a way that extends a lease.
	extends := func(now time.Time) bool {
		before := workers.renewals.Load()
		w.RenewalInFlight, w.NextCallAt, w.ReportedAt = false, time.Time{}, now.Add(-reportPeriod)
		e.renewLeases(now)
		time.Sleep(20 * time.Millisecond)
		e.updateEligibility(w, w.Token, quarantine.Trusted, now)
		renewed, reachable := workers.renewals.Load() > before, e.reachableWorker(row, now) != nil
		if renewed != reachable || renewed != w.Eligible {
			t.Errorf("renewed %v, may be called %v, eligible %v", renewed, reachable, w.Eligible)
		}
		return renewed
	}
	e.declareAbsences(now.Add(absenceDelay))
	if e.domainWriter.UnappendedCount() != 1 {
		t.Fatal("the absence is not declared")
	}
	w.UnlistedSince = time.Time{}
	if extends(now) {
		t.Error("a lease is extended after the declaration")
	}
	report := platform.Report{Worker: "w", Runs: []platform.Run{{ID: row.RunID(), State: platform.RunRunning}}}
	e.applyReport(w, report, now, false)
	if e.domainWriter.UnappendedCount() != 2 || extends(now) {
		t.Error("the end of the absence is not written, or a lease is extended before it is read back")
	}
	over := &record.WorkerAbsence{By: e.owner.Token(w.Shard), Worker: "w", Over: true}
	for _, r := range e.ledger.Apply(3, batchOf(e, 3, &record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: over}}), now) {
		e.applyResult(r, now)
	}
	if !extends(now) {
		t.Error("no lease is extended after the end of the absence has been accepted")
	}
}

// Guards against two runs at a time, and against a worker that is given up before it could answer: the end that a former owner has stated
// holds only if nothing was extended since, and the worker has time to answer the new owner.
func TestEndOfLeasesOnAbsentWorker(t *testing.T) {
	const full = 2*time.Second + 15750*time.Millisecond // call timeout, task lease and drift
	for name, c := range map[string]struct {
		remaining time.Duration
		change    func(e *engine, w *worker.Worker, claimed time.Time)
		want      time.Duration // from the claim
	}{
		"as stated":                 {5 * time.Second, func(*engine, *worker.Worker, time.Time) {}, 4250 * time.Millisecond},
		"time to answer":            {0, func(*engine, *worker.Worker, time.Time) {}, 3 * time.Second},
		"reached by this owner":     {5 * time.Second, func(_ *engine, w *worker.Worker, claimed time.Time) { w.ReportedAt = claimed }, full},
		"held by its own old claim": {5 * time.Second, func(_ *engine, w *worker.Worker, _ time.Time) { w.Token = 1 }, full},
		"ledger replaced":           {5 * time.Second, func(e *engine, _ *worker.Worker, claimed time.Time) { e.ledgerReplacedAt = claimed }, full},
	} {
		t.Run(name, func(t *testing.T) {
			e, now := newTestEngine(t, "a"), time.Now()
			w := &worker.Worker{ID: "w", Shard: failuredomain.ShardOf("w"), UnlistedSince: now}
			by := &record.ShardToken{Shard: w.Shard, Token: 1}
			absence := &record.WorkerAbsence{By: by, Worker: "w", LeasesEndMs: uint64(c.remaining.Milliseconds())}
			e.ledger.Apply(1, entry(1, "b", 1, claimRecord(w.Shard, 0)).Batch, now)
			e.ledger.Apply(2, entry(2, "b", 2, &record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: absence}}).Batch, now)
			claimed := now.Add(time.Second)
			e.owner.Observe(e.ledger, e.ledger.Apply(3, entry(3, "a", 1, claimRecord(w.Shard, 1)).Batch, claimed), claimed, true)
			c.change(e, w, claimed)
			if got := e.goneAt(w).Sub(claimed); got != c.want {
				t.Errorf("gone %v after the claim, want %v", got, c.want)
			}
		})
	}
}
