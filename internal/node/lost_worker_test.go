package node

import (
	"fmt"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/units"
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
// of the loss, and each of its successors but the last within ownerLife of its claim.
func lostWorkerBound(s settings.Settings, nodes, crashes int) time.Duration {
	scheduling := s.Scheduling
	claimed := claimWait(scheduling, nodes)
	unlisted := crashWindow + s.Membership.ListPeriod.Std()
	former := scheduling.WorkerCallTimeout.Std() + scheduling.TaskLease.Std() + lease.DriftMargin(scheduling.TaskLease.Std())
	drift := time.Duration(crashes-1) * lease.DriftMargin(former)
	leasesEnd := max(claimed, unlisted) + former + drift
	lastClaim := time.Duration(crashes)*claimed + time.Duration(crashes-1)*ownerLife
	contact := scheduling.WorkerCallTimeout.Std() + workerRetryDelay
	return crashWindow + max(leasesEnd, lastClaim+contact) + ticksToRun*scheduling.Tick.Std()
}

// Guards against a bound that grows by a whole task lease with each change of owner.
func TestLostWorkerBound(t *testing.T) {
	for _, c := range []struct {
		claimLease, taskLease time.Duration
		crashes               int
		want                  time.Duration
	}{
		{6 * time.Second, 15 * time.Second, 1, 27950 * time.Millisecond},
		{6 * time.Second, 15 * time.Second, 2, 28837500 * time.Microsecond},
		{6 * time.Second, 15 * time.Second, 3, 30600 * time.Millisecond},
		{2 * time.Second, 6 * time.Second, 1, 14800 * time.Millisecond},
		{2 * time.Second, 6 * time.Second, 3, 18 * time.Second},
	} {
		s := settings.Default()
		s.Scheduling.ClaimLease, s.Scheduling.TaskLease = units.Duration(c.claimLease), units.Duration(c.taskLease)
		if got := lostWorkerBound(s, 4, c.crashes); got != c.want {
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
	const nodes = 4
	for crashes := 1; crashes <= 3; crashes++ {
		for _, lead := range []time.Duration{-crashWindow, -700 * time.Millisecond, 300 * time.Millisecond, crashWindow} {
			t.Run(fmt.Sprintf("%d crashes, worker lost %v before the first", crashes, lead), func(t *testing.T) {
				runInDomain(t, 3, fixedRunTime(time.Hour), func(t *testing.T, d *testDomain) {
					d.start("n3")
					d.start("n4")
					time.Sleep(30 * time.Second)
					d.publish(t, manifestJSON(100000, jobJSON("j", "t", "batch", 1, 1000, 100, false)))
					time.Sleep(10 * time.Second)
					first, _ := d.oracle.latestRun()
					shard := failuredomain.ShardOf(first.worker)
					d.crashAround(t, shard, first.worker, lead)
					lostAt := time.Now().Add(-max(lead, 0))
					for range crashes - 1 {
						owner := d.awaitOwner(shard)
						time.Sleep(ownerLife)
						d.killNode[owner]()
					}
					time.Sleep(time.Minute)
					second, runs := d.oracle.latestRun()
					bound := lostWorkerBound(settings.Default(), nodes, crashes)
					if again := second.start.Sub(lostAt); runs != 2 || again > bound {
						t.Errorf("%d runs, the last one %v after the loss of the worker, want 2 within %v", runs, again, bound)
					}
					if violations := d.oracle.violations; len(violations) > 0 {
						t.Error(violations)
					}
				})
			})
		}
	}
}

// crashAround kills the owner of a shard and cuts a worker off for good, the worker earlier by lead. What runs on the worker ends with
// its lease.
func (d *testDomain) crashAround(t *testing.T, shard uint32, worker string, lead time.Duration) {
	owner := d.ownerOf(shard)
	if owner == "" {
		t.Fatal("nobody owns the shard of the worker")
	}
	lose := func() {
		d.workersByID[worker].SetDown(true)
		d.list.Remove(worker)
	}
	if lead > 0 {
		lose()
		time.Sleep(lead)
		d.killNode[owner]()
		return
	}
	d.killNode[owner]()
	time.Sleep(-lead)
	lose()
}
