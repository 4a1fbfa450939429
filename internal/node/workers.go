package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

const (
	// reportPeriod is the longest interval between two reports of a worker.
	reportPeriod = time.Second
	// expeditedReportPeriod is the interval between two reports while a decision depends on the next one.
	expeditedReportPeriod = 200 * time.Millisecond
	// workerRetryDelay is the delay before the next call to a worker after a call to it has failed, and
	// between two stop requests for the same run.
	workerRetryDelay = time.Second
	// maxCapacityCallsPerTick limits how many workers in shards of other nodes are asked for their capacity in
	// one tick.
	maxCapacityCallsPerTick = 4
)

// fenceWorkers sends the current fencing token to every worker in the shards that this node holds, and reads
// which runs it has. It also updates which workers are eligible for new tasks.
func (e *engine) fenceWorkers(now time.Time) {
	asked := 0
	for _, w := range e.workerTable.All() {
		token, held := e.owner.Authority(w.Shard, now)
		state := e.workerHealth.State(w.ID, now)
		w.Suspect = state != quarantine.Trusted
		w.Probation = state == quarantine.Probing
		if !held {
			if !e.mayUseExpiredClaim(w) {
				e.releaseWorker(w, now)
			}
			e.workerTable.SetEligible(w, false)
			if asked < maxCapacityCallsPerTick && e.fetchCapacity(w, now) {
				asked++
			}
			continue
		}
		if w.Token != token && !w.FenceInFlight && w.Address != "" && !now.Before(w.NextCallAt) {
			w.FenceInFlight = true
			e.fence(w, token)
		}
		e.updateEligibility(w, token, state, now)
		if w.Leaving && w.Token == token {
			e.drainWorker(w, now)
		}
	}
}

// drainWorker evicts the batch tasks that support checkpoints from a worker that is leaving. Service
// instances keep running until the worker is gone.
func (e *engine) drainWorker(w *worker.Worker, now time.Time) {
	for _, id := range w.RunIDs() {
		row := e.taskTable.Get(id.Task)
		if row != nil && row.RunID() == id && !row.IsService() && row.Checkpoints {
			e.relocate(row, reasonLeaving, now)
		}
	}
}

// releaseWorker stops managing a worker whose shard this node no longer holds. Its runs are left to the
// shard's next owner.
func (e *engine) releaseWorker(w *worker.Worker, now time.Time) {
	if w.Token == 0 {
		return
	}
	w.Token = 0
	for _, id := range w.RunIDs() {
		row := e.taskTable.Get(id.Task)
		if row != nil && row.RunID() == id && row.State.Open() && row.State != task.Placing {
			row.EvictionReason = ""
			row.SetState(task.Placed, "", now)
		}
	}
}

// updateEligibility decides whether a worker in a shard that this node holds may get new tasks.
func (e *engine) updateEligibility(w *worker.Worker, token platform.Offset, state quarantine.State, now time.Time) {
	usable := w.Token == token && !w.Leaving && !e.isDeclaredAbsent(w) && w.UnlistedSince.IsZero() && !now.Before(w.NextCallAt)
	e.workerTable.SetEligible(w, usable && state != quarantine.Quarantined)
}

// reportCall calls the worker at an address and returns its report.
type reportCall func(ctx context.Context, address string) (platform.Report, error)

// callWorker makes a call to a worker in a new goroutine. When the call has returned, the engine's goroutine
// always calls done, and calls apply with the report if that worker itself has answered.
func (e *engine) callWorker(w *worker.Worker, call reportCall, done func(), apply func(platform.Report, time.Time)) {
	address := w.Address
	go func() {
		report, err := call(e.ctx, address)
		e.post(func(now time.Time) {
			done()
			if err := checkResponder(w, report, err); err != nil {
				e.recordWorkerFailure(w, err, now)
				return
			}
			apply(report, now)
		})
	}()
}

// fetchCapacity asks a worker in another node's shard for its capacity unless it is known already. It reports
// whether a call was made.
func (e *engine) fetchCapacity(w *worker.Worker, now time.Time) bool {
	known := !w.Capacity.IsZero() || w.Address == "" || !w.UnlistedSince.IsZero()
	if known || w.RenewalInFlight || now.Before(w.NextCallAt) {
		return false
	}
	w.RenewalInFlight = true
	e.callWorker(w, e.workers.Report, func() { w.RenewalInFlight = false }, func(report platform.Report, _ time.Time) {
		if w.Capacity.IsZero() {
			e.workerTable.SetCapacity(w, report.Capacity)
		}
	})
	return true
}

// fence sends a new fencing token to a worker and takes over its runs from the report it returns.
func (e *engine) fence(w *worker.Worker, token platform.Offset) {
	sent := time.Now()
	fence := func(ctx context.Context, address string) (platform.Report, error) {
		return e.workers.Fence(ctx, address, token)
	}
	e.callWorker(w, fence, func() { w.FenceInFlight = false }, func(report platform.Report, now time.Time) {
		if current, held := e.owner.Authority(w.Shard, now); !held || current != token {
			return
		}
		w.Token = token
		e.dropRejectedStarts(w, token)
		e.applyReport(w, report, sent, true)
	})
}

// reasonOtherWorker means that a different VM answers at the address of a worker.
const reasonOtherWorker = verdict.Reason("other_worker_answers")

// checkResponder returns an error if a report comes from a VM other than w. A new VM may have the address of
// one that is gone. Its report says nothing about the old VM, and commands for the old VM must not reach it.
func checkResponder(w *worker.Worker, report platform.Report, err error) error {
	if err != nil || report.Worker == "" || report.Worker == w.ID {
		return err
	}
	return verdict.New(verdict.MayHaveRun, reasonOtherWorker, nil)
}

func (e *engine) recordWorkerFailure(w *worker.Worker, err error, now time.Time) {
	w.NextCallAt = now.Add(workerRetryDelay)
	e.metrics.countWorkerFailure(verdict.ReasonOf(err))
}

// renewLeases renews the leases of the runs on this node's workers and reads the workers' reports, with one
// call per worker.
func (e *engine) renewLeases(now time.Time) {
	period := min(reportPeriod, lease.RenewalPeriod(e.settings.Scheduling.TaskLease.Std()))
	for _, w := range e.workerTable.All() {
		wait := period
		if w.ReportNow {
			wait = min(period, expeditedReportPeriod)
		}
		if w.Token == 0 || w.RenewalInFlight || now.Before(w.NextCallAt) || now.Sub(w.ReportedAt) < wait {
			continue
		}
		w.ReportNow = false
		if !w.UnlistedSince.IsZero() || e.isDeclaredAbsent(w) {
			e.probeAbsent(w)
			continue
		}
		w.RenewalInFlight = true
		e.renew(w, now)
	}
}

func (e *engine) renew(w *worker.Worker, sent time.Time) {
	req := platform.RenewRequest{Token: w.Token, Lease: e.settings.Scheduling.TaskLease.Std()}
	for _, id := range w.RunIDs() {
		if e.renews(w, id, sent) {
			req.Runs = append(req.Runs, id)
		}
	}
	renew := func(ctx context.Context, address string) (platform.Report, error) {
		return e.workers.Renew(ctx, address, req)
	}
	e.callWorker(w, renew, func() { w.RenewalInFlight = false }, func(report platform.Report, _ time.Time) {
		if w.Token == req.Token {
			e.applyReport(w, report, sent, false)
		}
	})
}

// renews reports whether to renew the lease of a run on w. Open attempts of tasks that may be in a manifest that this process has yet
// to read are renewed under a valid claim.
func (e *engine) renews(w *worker.Worker, id platform.RunID, now time.Time) bool {
	if row := e.taskTable.Get(id.Task); row != nil {
		return row.Attempt == id.Attempt && row.State == task.Running && e.mayRenew(w, row, now)
	}
	a := e.openAttempt(id.Task)
	token, held := e.owner.Authority(w.Shard, now)
	return !e.manifestRead() && a != nil && a.Number == id.Attempt && held && token == w.Token
}

// forgetRun tells a worker to drop a final run from its reports. The runs of one tick are sent in one call.
func (e *engine) forgetRun(w *worker.Worker, id platform.RunID) {
	if w.Token != 0 && e.canForgetRun(w, id) {
		e.pendingForgets[w] = append(e.pendingForgets[w], id)
	}
}

// flushForgets sends the runs that forgetRun has queued.
func (e *engine) flushForgets() {
	for w, ids := range e.pendingForgets {
		token, address := w.Token, w.Address
		if token == 0 {
			continue
		}
		e.callAsync(func(ctx context.Context) error { return e.workers.Forget(ctx, address, token, ids) })
	}
	clear(e.pendingForgets)
}

// callAsync makes a call in the background. It ignores the result apart from counting failures, because the
// worker's next report shows the effect.
func (e *engine) callAsync(call func(ctx context.Context) error) {
	go func() {
		if err := call(e.ctx); err != nil {
			e.post(func(time.Time) { e.metrics.countWorkerFailure(verdict.ReasonOf(err)) })
		}
	}()
}
