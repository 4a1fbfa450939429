package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// syncTasks brings the task table in line with the manifest in force.
func (e *engine) syncTasks(now time.Time) {
	inForce := e.config.InForce()
	declared := make(map[string]bool)
	for _, spec := range task.Declared(inForce.Manifest, inForce.Origins, e.settings.FailureDomain) {
		declared[spec.ID] = true
		row := e.taskRow.Get(spec.ID)
		if row == nil {
			row = &task.Task{State: task.Waiting, Since: now}
			row.Spec = spec
			e.taskRow.Put(row)
			e.restoreTask(row, now)
		}
		row.Spec = spec
		row.Withdrawn = false
	}
	for _, row := range e.taskRow.All() {
		if declared[row.ID] {
			continue
		}
		row.Withdrawn = true
		e.dropWithdrawn(row)
	}
	e.dirty = true
}

// restoreTask sets a new row from what the ledger knows.
func (e *engine) restoreTask(row *task.Task, now time.Time) {
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
		row.Set(task.Starting, "", now)
		row.StartUncertain = true
		return
	}
	e.endTask(row, a, now)
}

// dropWithdrawn removes a row that no manifest names, once nothing of it runs.
func (e *engine) dropWithdrawn(row *task.Task) {
	a := e.ledger.Attempt(row.ID)
	open := a != nil && a.Open
	if !row.Withdrawn || open || row.State == task.Placing {
		return
	}
	e.taskRow.Remove(row.ID)
}

// takeList brings the worker table and the endpoints in line with the platform's list.
func (e *engine) takeList(vms []platform.VM, now time.Time) {
	e.vms = vms
	e.listReadAt = now
	listed := make(map[string]bool)
	for _, vm := range vms {
		if vm.Kind != platform.WorkerVM || vm.FailureDomain != e.settings.FailureDomain {
			continue
		}
		listed[vm.ID] = true
		row := e.workerRow.Get(vm.ID)
		if row == nil {
			row = &worker.Worker{ID: vm.ID, Shard: failuredomain.ShardOf(vm.ID)}
			e.workerRow.Put(row)
		}
		row.Rack = vm.Rack
		row.Address = vm.Address
		row.Leaving = vm.State == platform.Leaving
	}
	for _, row := range e.workerRow.All() {
		if !listed[row.ID] {
			e.removeWorker(row)
		}
	}
	e.dirty = true
	e.updateDirectory()
}

// removeWorker drops a worker that the list no longer shows. Its VM is gone for good, so its open
// attempts have provably ended.
func (e *engine) removeWorker(row *worker.Worker) {
	e.workerRow.Remove(row.ID)
	e.ledger.Attempts(func(a *ledger.Attempt) {
		if a.Open && a.Worker == row.ID {
			e.sendEnd(a, record.Outcome_OUTCOME_LOST, nil, "worker_gone")
		}
	})
}

// updateDirectory rebuilds the endpoints from the list and from what own workers report.
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
	for _, row := range e.taskRow.All() {
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
