package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/lease"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// syncTasks updates the task table to match the active manifest: it adds newly declared tasks, updates
// the specs of the others and marks the tasks that are no longer declared as withdrawn.
func (e *engine) syncTasks(now time.Time) {
	activeManifest := e.activeManifest
	declared := make(map[string]bool)
	for _, spec := range e.declared(activeManifest) {
		declared[spec.ID] = true
		row := e.taskTable.Get(spec.ID)
		if row == nil {
			row = &task.Task{State: task.Waiting, Since: now}
			row.Spec = spec
			row.Shard = e.ledger.ShardOf(spec.ID)
			e.taskTable.Put(row)
			e.restoreTask(row, now)
		}
		e.taskTable.SetSpec(row, spec, false)
		if a := e.ledger.Attempt(row.ID); row.State == task.Failed && a != nil {
			e.failTask(row, a, now) // the limit may be higher now
		}
	}
	for _, row := range e.taskTable.All() {
		if declared[row.ID] {
			continue
		}
		e.taskTable.SetSpec(row, row.Spec, true)
		e.mayHaveWithdrawnTasks = true
		e.dropWithdrawn(row)
	}
	e.dirty = true
}

// declared returns the specs of the tasks that the manifest assigns to this failure domain and of those
// taken over from other domains.
func (e *engine) declared(activeManifest *config.ActiveManifest) []task.Spec {
	specs := task.SpecsForDomain(activeManifest.Manifest, activeManifest.Origins, e.settings.FailureDomain)
	for _, id := range e.ledger.TransferredIn() {
		if spec, known := task.FindBatchSpec(activeManifest.Manifest, activeManifest.Origins, id); known {
			specs = append(specs, spec)
		}
	}
	return specs
}

// restoreTask initializes a new row from the task's latest attempt in the ledger.
func (e *engine) restoreTask(row *task.Task, now time.Time) {
	if to := e.ledger.TransferredTo(row.ID); to != "" {
		row.SetState(task.Transferred, "moved to failure domain "+to, now)
		return
	}
	a := e.ledger.Attempt(row.ID)
	if a == nil {
		return
	}
	row.Attempt = a.Number
	row.Failures = a.Failures
	row.Evictions = a.Evictions
	row.Checkpoint = a.Checkpoint
	if a.Open {
		row.Worker = a.Worker
		row.SetState(task.Placed, "", now)
		row.StartUncertain = true
		e.reserveOpen(a)
		return
	}
	e.endTask(row, a, now)
}

// dropWithdrawn removes the row of a withdrawn task unless an attempt is open or being placed.
func (e *engine) dropWithdrawn(row *task.Task) {
	a := e.ledger.Attempt(row.ID)
	open := a != nil && a.Open
	if !row.Withdrawn || open || row.State == task.Placing {
		return
	}
	e.taskTable.Remove(row.ID)
}

// applyVMList updates the worker table and the endpoint directory to match the platform's VM list.
func (e *engine) applyVMList(vms []platform.VM, now time.Time) {
	e.vms = vms
	e.listReadAt = now
	listed := make(map[string]bool)
	added := false
	for _, vm := range vms {
		if vm.Kind != platform.WorkerVM || vm.FailureDomain != e.settings.FailureDomain {
			continue
		}
		listed[vm.ID] = true
		row := e.workerTable.Get(vm.ID)
		if row == nil {
			row = &worker.Worker{ID: vm.ID, Shard: failuredomain.ShardOf(vm.ID)}
			e.workerTable.Put(row)
			added = true
		}
		e.workerTable.SetRack(row, vm.Rack)
		row.Address = vm.Address
		row.Leaving = vm.State == platform.Leaving
		row.UnlistedSince = time.Time{}
	}
	for _, row := range e.workerTable.All() {
		if !listed[row.ID] && row.UnlistedSince.IsZero() {
			row.UnlistedSince = now
		}
	}
	e.addUnlisted(now)
	if added {
		e.ledger.Attempts(e.reserveOpen)
	}
	e.workerHealth.SetWorkerCount(e.workerTable.Len())
	e.updateDirectory()
}

// addUnlisted adds a row, marked as absent from the VM list, for every worker that has an open attempt in the
// ledger but that this node has never seen in the list, so that the attempt ends once the worker counts as
// gone.
func (e *engine) addUnlisted(now time.Time) {
	added := false
	e.ledger.Attempts(func(a *ledger.Attempt) {
		if !a.Open || e.workerTable.Get(a.Worker) != nil {
			return
		}
		e.workerTable.Put(&worker.Worker{ID: a.Worker, Shard: a.Shard, UnlistedSince: now})
		added = true
	})
	if added {
		e.ledger.Attempts(e.reserveOpen)
	}
}

// reserveOpen reserves the declared size of an open attempt on its worker, unless a non-zero reservation
// exists already. If this node has no row for the task yet, the size is zero until the worker reports it.
func (e *engine) reserveOpen(a *ledger.Attempt) {
	w := e.workerTable.Get(a.Worker)
	if !a.Open || w == nil {
		return
	}
	var size units.Resources
	if row := e.taskTable.Get(a.Task); row != nil {
		size = row.Size
	}
	id := platform.RunID{Task: a.Task, Attempt: a.Number}
	if current, any := w.Reservation(id); !any || current.IsZero() {
		e.workerTable.Reserve(w, id, size)
	}
}

// removeAbsent drops the workers that are gone. The VM list may lag or return older data for a while, so
// absence alone proves nothing: a worker is gone when it is absent, does not answer, and the leases on it
// have expired. No lease is renewed on an absent worker, so its open attempts have certainly ended by then.
func (e *engine) removeAbsent(now time.Time) {
	for _, w := range e.workerTable.All() {
		if w.UnlistedSince.IsZero() || now.Before(e.goneAt(w)) {
			continue
		}
		e.removeWorker(w)
	}
}

// goneAt returns the time at which an absent worker counts as gone unless it answers before. The previous
// owner of the shard, whose copy of the list may still have shown the worker, may have renewed leases on it
// until this node claimed the shard, unless it has declared the worker absent. The worker has time to answer this owner in any case.
func (e *engine) goneAt(w *worker.Worker) time.Time {
	silentSince := latest(latest(w.UnlistedSince, w.ReportedAt), e.owner.ClaimSentAt(w.Shard))
	lastCallEnds := silentSince.Add(e.settings.Scheduling.WorkerCallTimeout.Std())
	leasesEnd := lease.ObserverExpiry(lastCallEnds, e.settings.Scheduling.TaskLease.Std())
	if former, known := e.formerLeasesEnd(w); known {
		return earliest(leasesEnd, latest(former, lastCallEnds.Add(workerRetryDelay)))
	}
	return leasesEnd
}

// removeWorker drops a worker that is gone and ends its open attempts.
func (e *engine) removeWorker(w *worker.Worker) {
	e.workerTable.Remove(w.ID)
	e.forgetWorker(w.ID)
	e.dirty = true
	e.ledger.Attempts(func(a *ledger.Attempt) {
		if a.Open && a.Worker == w.ID {
			e.sendEnd(a, record.Outcome_OUTCOME_LOST, nil, "worker_gone")
		}
	})
}

// probeAbsent requests the report of an absent worker, which renews no lease. If the worker answers, it is
// no longer treated as absent.
func (e *engine) probeAbsent(w *worker.Worker) {
	w.RenewalInFlight = true
	token, sent := w.Token, time.Now()
	e.callWorker(w, e.workers.Report, func() { w.RenewalInFlight = false }, func(report platform.Report, _ time.Time) {
		w.UnlistedSince = time.Time{}
		if w.Token == token {
			e.applyReport(w, report, sent, false)
		}
	})
}

// updateDirectory rebuilds the endpoint directory from the VM list and from the running service instances
// that the workers report.
func (e *engine) updateDirectory() {
	var infos []endpoint.Info
	listed := make(map[string]bool)
	for _, vm := range e.vms {
		if vm.Kind != platform.EndpointVM {
			continue
		}
		listed[vm.Address] = true
		infos = append(infos, endpoint.Info{
			ID:            vm.ID,
			Service:       vm.Service,
			FailureDomain: vm.FailureDomain,
			Address:       vm.Address,
			Leaving:       vm.State == platform.Leaving,
		})
	}
	for _, row := range e.taskTable.All() {
		if row.Service == "" || row.Address == "" || listed[row.Address] || row.State != task.Running {
			continue
		}
		infos = append(infos, endpoint.Info{
			ID:            row.ID,
			Service:       row.Service,
			FailureDomain: e.settings.FailureDomain,
			Address:       row.Address,
		})
	}
	e.directory.Update(infos)
}
