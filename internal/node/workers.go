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
	// reportPeriod is the longest time between two reports of a worker.
	reportPeriod = time.Second
	// expeditedPeriod is the time between two reports while a decision waits for them.
	expeditedPeriod = 200 * time.Millisecond
	// workerRetryDelay is the wait before the next call to a worker that did not answer.
	workerRetryDelay = time.Second
	// capacityCallsPerTick bounds the workers of other owners that are asked for their capacity in one tick.
	capacityCallsPerTick = 4
)

// adoptWorkers raises the fencing token of every worker of an own shard and lists what runs there. It
// also keeps track of which workers may get new tasks.
func (e *engine) adoptWorkers(now time.Time) {
	asked := 0
	for _, w := range e.workerRow.All() {
		token, held := e.owner.Holds(w.Shard, now)
		if !held {
			if !e.keepsLapsed(w) {
				e.disown(w, now)
			}
			e.workerRow.SetEligible(w, false)
			if asked < capacityCallsPerTick && e.learnCapacity(w, now) {
				asked++
			}
			continue
		}
		if w.Token != token && !w.Adopting && w.Address != "" && !now.Before(w.CallAfter) {
			w.Adopting = true
			e.adopt(w, token)
		}
		e.judge(w, token, now)
		if w.Leaving && w.Token == token {
			e.vacate(w, now)
		}
	}
}

// vacate moves the batch tasks off a worker that is leaving. Its service instances stay until it is gone.
func (e *engine) vacate(w *worker.Worker, now time.Time) {
	for _, id := range w.RunIDs() {
		row := e.taskRow.Get(id.Task)
		if row != nil && row.RunID() == id && !row.IsService() && row.Checkpoints {
			e.move(row, reasonLeaving, now)
		}
	}
}

// disown leaves what runs on a worker to the next owner.
func (e *engine) disown(w *worker.Worker, now time.Time) {
	if w.Token == 0 {
		return
	}
	w.Token = 0
	for _, id := range w.RunIDs() {
		row := e.taskRow.Get(id.Task)
		if row != nil && row.RunID() == id && row.State.Open() && row.State != task.Placing {
			row.EvictedFor = ""
			row.Set(task.Placed, "", now)
		}
	}
}

// judge decides whether a worker of an own shard may get new tasks.
func (e *engine) judge(w *worker.Worker, token platform.Offset, now time.Time) {
	state := e.outcomes.State(w.ID, now)
	w.Suspect = state != quarantine.Trusted
	w.Probation = state == quarantine.Probing
	usable := w.Token == token && !w.Leaving && w.AbsentSince.IsZero() && !now.Before(w.CallAfter)
	e.workerRow.SetEligible(w, usable && state != quarantine.Quarantined)
}

// reportCall is a call to the worker at an address that returns its report.
type reportCall func(ctx context.Context, address string) (platform.Report, error)

// callWorker makes a call to a worker that returns its report. Afterwards, in the engine's goroutine, done is called
// in any case and take when the worker itself has answered.
func (e *engine) callWorker(w *worker.Worker, call reportCall, done func(), take func(platform.Report, time.Time)) {
	address := w.Address
	go func() {
		report, err := call(e.ctx, address)
		e.post(func(now time.Time) {
			done()
			if err := answeredBy(w, report, err); err != nil {
				e.workerFailed(w, err, now)
				return
			}
			take(report, now)
		})
	}()
}

// learnCapacity asks a worker of another owner for its capacity, once. It reports whether a call was made.
func (e *engine) learnCapacity(w *worker.Worker, now time.Time) bool {
	known := !w.Capacity.IsZero() || w.Address == "" || !w.AbsentSince.IsZero()
	if known || w.Calling || now.Before(w.CallAfter) {
		return false
	}
	w.Calling = true
	e.callWorker(w, e.workers.Report, func() { w.Calling = false }, func(report platform.Report, _ time.Time) {
		if w.Capacity.IsZero() {
			e.workerRow.SetCapacity(w, report.Capacity)
		}
	})
	return true
}

func (e *engine) adopt(w *worker.Worker, token platform.Offset) {
	sent := time.Now()
	fence := func(ctx context.Context, address string) (platform.Report, error) {
		return e.workers.Fence(ctx, address, token)
	}
	e.callWorker(w, fence, func() { w.Adopting = false }, func(report platform.Report, now time.Time) {
		if current, held := e.owner.Holds(w.Shard, now); !held || current != token {
			return
		}
		w.Token = token
		e.dropLateStarts(w, token)
		e.takeReport(w, report, sent, true)
	})
}

// reasonOtherWorker: another VM answers at the address of a worker, which is then gone.
const reasonOtherWorker = verdict.Reason("other_worker_answers")

// answeredBy turns the report of another VM into a failure. A new VM may have the address of one that is
// gone; what it says is nothing about the old one, and it must not be commanded under its name.
func answeredBy(w *worker.Worker, report platform.Report, err error) error {
	if err != nil || report.Worker == "" || report.Worker == w.ID {
		return err
	}
	return verdict.New(verdict.MayHaveRun, reasonOtherWorker, nil)
}

func (e *engine) workerFailed(w *worker.Worker, err error, now time.Time) {
	w.CallAfter = now.Add(workerRetryDelay)
	e.metrics.countWorkerFailure(verdict.ReasonOf(err))
}

// renewLeases extends the leases of what runs on own workers and takes their reports, one call a worker.
func (e *engine) renewLeases(now time.Time) {
	period := min(reportPeriod, lease.RenewalPeriod(e.settings.Scheduling.TaskLease.Std()))
	for _, w := range e.workerRow.All() {
		wait := period
		if w.Expedite {
			wait = min(period, expeditedPeriod)
		}
		if w.Token == 0 || w.Calling || now.Before(w.CallAfter) || now.Sub(w.ReportedAt) < wait {
			continue
		}
		w.Expedite = false
		if !w.AbsentSince.IsZero() {
			e.probeAbsent(w)
			continue
		}
		w.Calling = true
		e.renew(w, now)
	}
}

func (e *engine) renew(w *worker.Worker, sent time.Time) {
	req := platform.RenewRequest{Token: w.Token, Lease: e.settings.Scheduling.TaskLease.Std()}
	for _, id := range w.RunIDs() {
		row := e.taskRow.Get(id.Task)
		if row != nil && row.Attempt == id.Attempt && row.State == task.Running && e.mayRenew(w, row, sent) {
			req.Runs = append(req.Runs, id)
		}
	}
	renew := func(ctx context.Context, address string) (platform.Report, error) {
		return e.workers.Renew(ctx, address, req)
	}
	e.callWorker(w, renew, func() { w.Calling = false }, func(report platform.Report, _ time.Time) {
		if w.Token == req.Token {
			e.takeReport(w, report, sent, false)
		}
	})
}

// forgetRun lets a worker drop a final run from its report. The runs of one tick go in one call.
func (e *engine) forgetRun(w *worker.Worker, id platform.RunID) {
	if w.Token != 0 && e.mayForget(w, id) {
		e.forgets[w] = append(e.forgets[w], id)
	}
}

// flushForgets sends what forgetRun has gathered.
func (e *engine) flushForgets() {
	for w, ids := range e.forgets {
		token, address := w.Token, w.Address
		if token == 0 {
			continue
		}
		e.fire(func(ctx context.Context) error { return e.workers.Forget(ctx, address, token, ids) })
	}
	clear(e.forgets)
}

// fire makes a call whose effect the next report shows.
func (e *engine) fire(call func(ctx context.Context) error) {
	go func() {
		if err := call(e.ctx); err != nil {
			e.post(func(time.Time) { e.metrics.countWorkerFailure(verdict.ReasonOf(err)) })
		}
	}()
}
