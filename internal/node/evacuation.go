package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// evacuation is what the active manifest says of the node's own failure domain.
type evacuation struct {
	active bool
	since  time.Time // when this process learned of it
}

// updateEvacuation takes the evacuation of the node's failure domain from the active manifest.
func (e *engine) updateEvacuation(now time.Time) {
	active := e.activeManifest.Manifest.Evacuated(e.settings.FailureDomain)
	if active == e.evacuation.active {
		return
	}
	e.evacuation = evacuation{active: active, since: now}
	e.dirty = true
	e.logger.Info("evacuation of the failure domain changed", zap.Bool("evacuated", active))
}

// withholdsStarts reports whether no task may be placed or started: the failure domain is evacuated, or this process has not read
// the manifest stream to its end, so that it may know an older manifest only.
func (e *engine) withholdsStarts() bool { return e.evacuation.active || !e.manifestCaughtUp }

// withholdStart ends the attempt of a placed task in an evacuated failure domain. If a start request may have taken effect, it
// waits for a report: either the task runs and goes on, or the run is stopped, so that the worker refuses a late request.
func (e *engine) withholdStart(w *worker.Worker, row *task.Task, now time.Time) {
	if !e.evacuation.active {
		return
	}
	if row.StartUncertain && !w.ReportedAt.After(e.evacuation.since.Add(e.settings.Scheduling.WorkerCallTimeout.Std())) {
		w.ReportNow = true
		return
	}
	e.metrics.count("cactuswall_starts_withheld_total", "reason", reasonEvacuated)
	e.withdrawStart(row, reasonEvacuated, now)
}

// evacuations returns the number of evacuated failure domains, for the gauge of the metrics.
func (v *views) evacuations() float64 {
	active := v.activeManifest.Load()
	if active == nil {
		return 0
	}
	return float64(len(active.Manifest.EvacuatedDomains()))
}
