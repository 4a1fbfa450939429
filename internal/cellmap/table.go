package cellmap

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// The keys of the topic of the cells: the plan, and the cells of a rack, of a worker and of a task.
const (
	PlanKey      = "plan"
	rackPrefix   = "r/"
	workerPrefix = "w/"
	taskPrefix   = "t/"
)

// HomeCell as the cell of a worker means the cell of its rack.
const HomeCell = -1

// Assignment is the record of the cell that a rack or a worker belongs to. The owner of the cell that had it until then
// stores the record, once nothing runs there.
type Assignment struct {
	Cell int
}

// TaskAssignment is the record of the cell that runs a long-running task of a job of another cell. The owner of the cell
// that had the task until then stores the record, once no run of the task is in progress.
type TaskAssignment struct {
	Cell int
	// LastRun is the number of the latest run of the task, and Checkpoint its latest checkpoint.
	LastRun    int
	Checkpoint string
}

// TaskKey is the key of the assignment of a task.
func TaskKey(t jobs.TaskID) string { return taskPrefix + t.Key() }

// RackKey is the key of the assignment of a rack. Workers without a rack label share one key in each failure domain.
func RackKey(domain, rack string) string { return rackPrefix + domain + "/" + rack }

// WorkerKey is the key of the assignment of a worker. It goes before that of its rack.
func WorkerKey(id string) string { return workerPrefix + id }

// placed is an assignment with its version, which is higher than that of every earlier assignment of any worker.
type placed struct {
	cell    int
	version int64
}

// Table holds the plan and the assignments that were read from the store. It is not changed once it is built: With
// returns a changed copy. A rack without an assignment belongs to cell 0.
type Table struct {
	plan    Plan
	racks   map[string]placed         // by RackKey
	workers map[string]placed         // by worker ID
	tasks   map[string]TaskAssignment // by TaskID.Key
	// dataRacks holds the cells of the racks by their label alone, as callers name them.
	dataRacks map[string]int
	// end is the offset up to which the topic has been read.
	end store.Offset
}

// NewTable returns the table of a deployment without records.
func NewTable() *Table {
	return &Table{
		plan: SingleCell(), racks: map[string]placed{}, workers: map[string]placed{}, tasks: map[string]TaskAssignment{},
		dataRacks: map[string]int{},
	}
}

// Plan returns the plan.
func (t *Table) Plan() Plan { return t.plan }

// Tasks returns the assignments of tasks, by TaskID.Key. The map must not be changed.
func (t *Table) Tasks() map[string]TaskAssignment { return t.tasks }

// End returns the offset up to which the topic has been read.
func (t *Table) End() store.Offset { return t.end }

// With returns the table after records that were read up to end. Records that cannot be decoded, or that name a cell that
// no plan lists, are left out; err describes the last of them.
func (t *Table) With(records []store.Record, end store.Offset) (next *Table, skipped int, err error) {
	next = &Table{
		plan: t.plan, racks: maps.Clone(t.racks), workers: maps.Clone(t.workers), tasks: maps.Clone(t.tasks),
		dataRacks: maps.Clone(t.dataRacks), end: max(t.end, end),
	}
	// A listing is in the order of its keys, and cells are only added to the plan, so the plan comes first.
	for _, plans := range []bool{true, false} {
		for i := range records {
			if (records[i].Key == PlanKey) != plans || records[i].Offset < t.end {
				continue
			}
			if problem := next.apply(&records[i]); problem != nil {
				skipped, err = skipped+1, problem
			}
		}
	}
	return next, skipped, err
}

func (t *Table) apply(r *store.Record) error {
	if task, isTask := strings.CutPrefix(r.Key, taskPrefix); isTask {
		return t.applyTask(task, r)
	}
	if len(r.Value) == 0 {
		return nil // only assignments of tasks are deleted
	}
	if r.Key == PlanKey {
		var plan Plan
		if err := recordcodec.Decode(r.Value, &plan); err != nil {
			return trace.Wrap(err)
		}
		if !plan.valid() || len(plan.Cells) < len(t.plan.Cells) {
			return trace.BadParameter("the plan of the cells at offset %d is not valid", r.Offset)
		}
		t.plan = plan
		return nil
	}
	var assignment Assignment
	if err := recordcodec.Decode(r.Value, &assignment); err != nil {
		return trace.Wrap(err)
	}
	entry := placed{cell: assignment.Cell, version: int64(r.Offset) + 1}
	id, isWorker := strings.CutPrefix(r.Key, workerPrefix)
	_, isRack := strings.CutPrefix(r.Key, rackPrefix)
	switch {
	case entry.cell >= len(t.plan.Cells) || entry.cell < HomeCell || isRack && entry.cell == HomeCell:
		return trace.BadParameter("%s is assigned to cell %d, which does not exist", r.Key, entry.cell)
	case isWorker:
		t.workers[id] = entry
	case isRack:
		t.racks[r.Key] = entry
		t.dataRacks[r.Key[strings.LastIndexByte(r.Key, '/')+1:]] = entry.cell
	default:
		return trace.BadParameter("the key %q is unknown", r.Key)
	}
	return nil
}

// applyTask applies the assignment of a task, or its deletion.
func (t *Table) applyTask(task string, r *store.Record) error {
	if len(r.Value) == 0 {
		delete(t.tasks, task)
		return nil
	}
	var assignment TaskAssignment
	if err := recordcodec.Decode(r.Value, &assignment); err != nil {
		return trace.Wrap(err)
	}
	if assignment.Cell < 0 || assignment.Cell >= len(t.plan.Cells) || assignment.LastRun < 0 {
		return trace.BadParameter("the assignment of the task %s is not valid: %+v", task, assignment)
	}
	t.tasks[task] = assignment
	return nil
}

// CellOf returns the cell that a worker belongs to. version rises whenever the worker changes its cell.
func (t *Table) CellOf(w *workercall.Worker) (cell int, version int64) {
	rack := t.racks[RackKey(w.FailureDomain, w.Rack)]
	own, found := t.workers[w.ID]
	switch {
	case !found:
		return rack.cell, rack.version
	case own.cell == HomeCell:
		return rack.cell, max(own.version, rack.version)
	}
	return own.cell, own.version
}

// Borrowed reports whether a worker belongs to another cell than its rack.
func (t *Table) Borrowed(w *workercall.Worker) bool {
	own, found := t.workers[w.ID]
	return found && own.cell != HomeCell && own.cell != t.racks[RackKey(w.FailureDomain, w.Rack)].cell
}

// Assigned reports whether a worker has an assignment of its own, which counts whatever cell its rack belongs to.
func (t *Table) Assigned(id string) bool {
	own, found := t.workers[id]
	return found && own.cell != HomeCell
}

// ReturnTo returns where a cell hands a borrowed worker that it does not need any more: to that of its rack or, if that one is not
// active and handed the worker over for good, to an active cell of its failure domain. leaves is false if it stays.
func (t *Table) ReturnTo(w *workercall.Worker, cell int) (to int, leaves bool) {
	if t.plan.Cells[t.racks[RackKey(w.FailureDomain, w.Rack)].cell].Active {
		return HomeCell, true
	}
	homes := t.plan.Homes(w.FailureDomain)
	return homes[0], !slices.Contains(homes, cell)
}

// epochBits is the number of bits of a fencing token that hold the epoch of the owner.
const epochBits = 20

// Token returns the fencing token of an owner for a worker. A worker refuses tokens that are lower than the highest that
// it has seen: a later owner of the same cell has a higher epoch, the owner of the cell to which the worker has gone since
// a higher version.
func Token(version, epoch int64) int64 { return version<<epochBits + epoch }
