package node

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

const (
	// settleTime is how long the reservations on a worker must be unchanged before the latency of its services
	// is attributed to their neighbours.
	settleTime = 3 * time.Second
	// speedInterval is the minimum time over which the speed of a batch task is measured.
	speedInterval = 5 * time.Second
	// outgrownThrottle is the fraction of its reservation to which a run is limited when it uses more
	// processors than it reserved. A run below this fraction counts as throttled.
	outgrownThrottle = 0.99
)

// estimates implements scheduler.Estimates with the values that the node has learned from reports.
type estimates struct {
	engine *engine
}

// Size implements scheduler.Estimates.
func (est estimates) Size(row *task.Task) units.Resources {
	if row.IsService() {
		return row.Size
	}
	return sizing.Max(est.engine.sizes.Size(row.Kind(), row.Size), row.ObservedNeed)
}

// RunTime implements scheduler.Estimates.
func (est estimates) RunTime(row *task.Task) time.Duration {
	total := est.engine.sizes.RunTime(row.Kind(), row.RunTime)
	return time.Duration(float64(total) * (1 - row.Progress))
}

// Slowdown implements scheduler.Estimates.
func (est estimates) Slowdown(victim, aggressor string) float64 {
	return est.engine.slowdowns.Slowdown(victim, aggressor)
}

// FailureRate implements scheduler.Estimates.
func (est estimates) FailureRate(id string) float64 { return est.engine.workerHealth.FailureRate(id) }

// watchUsage records the usage of a batch run. It shrinks a reservation that is too large, and grows it,
// throttles the run or moves the task when the run has outgrown its reservation.
func (e *engine) watchUsage(w *worker.Worker, row *task.Task, run *platform.Run, now time.Time) {
	if row.IsService() {
		return
	}
	if e.sizes.Observe(run.ID, row.Kind(), run.Usage) {
		e.taskTable.ResetChecked(row.Kind())
	}
	row.WasThrottled = row.WasThrottled || run.Throttle < outgrownThrottle
	e.watchSpeed(w, row, now)
	if row.Evicting() || row.State != task.Running || !row.RequestedReservation.IsZero() {
		return
	}
	if smaller, any := e.sizes.ReducedSize(run.ID, row.Kind(), run.Size); any && row.ObservedNeed.IsZero() {
		e.resize(w, row, smaller)
		return
	}
	resize := sizing.DecideResize(run.Usage, run.Size, w.Free(), run.Throttle > 0 && run.Throttle < 1)
	switch resize.Action {
	case sizing.Grow:
		e.resize(w, row, resize.Size)
	case sizing.Throttle:
		e.throttle(row, outgrownThrottle, now)
	case sizing.Move:
		row.ObservedNeed = resize.Size
		if row.Evictions < maxEvictions {
			e.relocate(row, reasonOutgrown, now)
		}
	}
}

// resize changes the reservation of a run. A larger reservation is counted before the call, so that nothing
// else is placed into that capacity; a smaller one is counted once the worker reports it.
func (e *engine) resize(w *worker.Worker, row *task.Task, size units.Resources) {
	id, token, address := row.RunID(), w.Token, w.Address
	row.RequestedReservation = size
	row.ResizedAt = time.Time{}
	before, _ := w.Reservation(id)
	e.workerTable.Reserve(w, id, sizing.Max(before, size))
	e.metrics.resizes.Inc()
	go func() {
		err := e.workers.Resize(e.ctx, address, token, id, size)
		e.post(func(now time.Time) {
			if err != nil {
				e.metrics.countWorkerFailure(verdict.ReasonOf(err))
			}
			if row.RunID() == id {
				row.ResizedAt = now
			}
		})
	}()
}

// throttle limits a run to a fraction of its reservation.
func (e *engine) throttle(row *task.Task, share float64, now time.Time) {
	w := e.reachableWorker(row, now)
	if w == nil {
		return
	}
	e.metrics.throttles.Inc()
	id, token, address := row.RunID(), w.Token, w.Address
	e.callAsync(func(ctx context.Context) error {
		return e.workers.Throttle(ctx, address, token, id, share)
	})
}

// watchSpeed estimates from the progress of a batch run how much its neighbours slow it down.
func (e *engine) watchSpeed(w *worker.Worker, row *task.Task, now time.Time) {
	if row.RateAt.IsZero() || row.RateAt.Before(e.reservationsStableSince(w, now)) {
		row.RateAt, row.RateProgress = now, row.Progress
		return
	}
	elapsed := now.Sub(row.RateAt)
	done := row.Progress - row.RateProgress
	if elapsed < speedInterval || done <= 0 || row.Throttle < 1 {
		return
	}
	row.RateAt, row.RateProgress = now, row.Progress
	slowdown := e.baselines.Observe(row.Kind(), elapsed.Seconds()/done)
	e.slowdowns.Observe(row.Kind(), neighbours(w, row.Kind()), slowdown)
}

// reservationsStableSince returns the time since which the reservations on a worker have not changed.
func (e *engine) reservationsStableSince(w *worker.Worker, now time.Time) time.Time {
	s, known := e.stability[w.ID]
	if !known || s.changes != w.ChangeCount() {
		s = reservationStability{changes: w.ChangeCount(), since: now}
		e.stability[w.ID] = s
	}
	return s.since
}

// reservationStability records since when the reservations on a worker have not changed.
type reservationStability struct {
	// changes is the change counter of the worker at that time.
	changes uint64
	since   time.Time
}

// neighbours returns the fraction of the worker's processors that each kind reserves, without one instance of
// the given kind.
func neighbours(w *worker.Worker, kind string) map[string]float64 {
	shares := make(map[string]float64)
	if w.Capacity.MilliProcessors == 0 {
		return shares
	}
	for _, use := range w.Kinds() {
		held := use.MilliProcessors
		if use.Kind == kind {
			held -= use.MilliProcessors / int64(use.Count)
		}
		if held > 0 {
			shares[use.Kind] = float64(held) / float64(w.Capacity.MilliProcessors)
		}
	}
	return shares
}

// watchLatency records the latencies of the services on a worker and throttles or moves batch runs when a
// service exceeds its latency target.
func (e *engine) watchLatency(w *worker.Worker, report platform.Report, now time.Time) {
	latencyRatio, measured := 0.0, false
	steady := now.Sub(e.reservationsStableSince(w, now)) >= settleTime && !anyThrottled(report)
	for i := range report.Runs {
		run := &report.Runs[i]
		row := e.taskTable.Get(run.ID.Task)
		if run.Latency <= 0 || row == nil || !row.IsService() || run.State.Final() {
			continue
		}
		slowdown := e.baselines.Observe(row.Kind(), run.Latency.Seconds())
		if steady {
			e.slowdowns.Observe(row.Kind(), neighbours(w, row.Kind()), slowdown)
		}
		if target := e.latencyTarget(row.Service); target > 0 {
			measured = true
			latencyRatio = max(latencyRatio, float64(run.Latency)/float64(target))
		}
	}
	if !measured {
		return
	}
	steps := e.interferenceController.Update(w.ID, latencyRatio, e.aggressors(w), now)
	if latencyRatio > 1 && len(steps) > 0 {
		e.guarantees.RecordViolation(guarantee.Latency, w.ID, now)
	}
	for _, step := range steps {
		e.applyStep(step, now)
	}
}

// anyThrottled reports whether the worker throttles any unfinished run.
func anyThrottled(report platform.Report) bool {
	for i := range report.Runs {
		run := &report.Runs[i]
		if !run.State.Final() && run.Throttle < outgrownThrottle {
			return true
		}
	}
	return false
}

// latencyTarget returns the latency target of a service, or 0 if the active manifest does not declare it.
func (e *engine) latencyTarget(service string) time.Duration {
	for i := range e.activeManifest.Manifest.Services {
		s := &e.activeManifest.Manifest.Services[i]
		if s.Name == service {
			return s.LatencyTarget.Std()
		}
	}
	return 0
}

// aggressors returns the batch runs on a worker. The impact of each run is the largest slowdown that it is
// estimated to cause to a service on the worker, times the milli-processors that it reserves.
func (e *engine) aggressors(w *worker.Worker) []interference.Aggressor {
	var found []interference.Aggressor
	for _, id := range w.RunIDs() {
		row := e.taskTable.Get(id.Task)
		if row == nil || row.IsService() || row.State != task.Running || row.Evicting() || row.RunID() != id {
			continue
		}
		slowdown := 0.0
		for _, use := range w.Kinds() {
			if e.taskTable.IsService(use.Kind) {
				slowdown = max(slowdown, e.slowdowns.Slowdown(use.Kind, row.Kind()))
			}
		}
		size, _ := w.Reservation(id)
		found = append(found, interference.Aggressor{
			Run:      id,
			Kind:     row.Kind(),
			Impact:   slowdown * float64(size.MilliProcessors),
			Throttle: row.Throttle,
			Movable:  row.Evictions < maxEvictions,
		})
	}
	return found
}

// applyStep moves or throttles a batch run as the interference controller has decided.
func (e *engine) applyStep(step interference.Step, now time.Time) {
	row := e.taskTable.Get(step.Run.Task)
	if row == nil {
		return
	}
	if step.Move {
		e.relocate(row, reasonInterference, now)
		return
	}
	e.throttle(row, step.Throttle, now)
}

// recordAttemptEnd updates the statistics on a task's kind and on its worker with the end of an attempt. Every
// node of the domain reads every end record, so a new owner has the same statistics as the previous one.
func (e *engine) recordAttemptEnd(row *task.Task, end *record.End, workerID string, now time.Time) {
	id := platform.RunID{Task: end.GetTask(), Attempt: end.GetAttempt()}
	finished := end.GetOutcome() == record.Outcome_OUTCOME_FINISHED
	var runTime time.Duration
	if finished && !row.WasThrottled && !row.ConfirmedAt.IsZero() && row.StartProgress < 1 {
		runTime = time.Duration(float64(now.Sub(row.ConfirmedAt)) / (1 - row.StartProgress))
	}
	e.sizes.EndRun(id, row.Kind(), finished, runTime)
	switch end.GetOutcome() {
	case record.Outcome_OUTCOME_FINISHED:
		e.workerHealth.RecordSuccess(workerID, row.Kind())
		e.taskTable.ResetChecked(row.Kind())
		e.workerHealth.RemoveTask(row.ID)
	case record.Outcome_OUTCOME_FAILED:
		if e.workerHealth.RecordFailure(workerID, row.ID, row.Kind(), now) {
			e.metrics.quarantines.Inc()
			e.logQuarantine(workerID)
		}
	}
}

// forgetWorker drops the statistics on a worker that is gone.
func (e *engine) forgetWorker(id string) {
	e.workerHealth.RemoveWorker(id)
	e.interferenceController.Forget(id)
	delete(e.stability, id)
}
