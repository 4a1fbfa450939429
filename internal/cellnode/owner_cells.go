package cellnode

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// planDelay is how long an owner has known the state before it changes the plan of the cells, so that it has seen all
	// workers and nodes of a deployment that starts.
	planDelay = 1500 * time.Millisecond
	// maxCordonedRacks is the share of its racks, one in so many, that a cell empties at a time.
	maxCordonedRacks = 4
	// loanTimeout is how long a worker that was promised to another cell may take to become idle.
	loanTimeout = 5 * time.Second
	// busyLoanTimeout is the same for a worker of a cell that has none to spare, on which more has to end.
	busyLoanTimeout = 30 * time.Second
	// borrowInterval is the minimum time between two requests for workers of other cells.
	borrowInterval = time.Second
	// returnDelay is how long a cell must have done without borrowed workers before it returns them.
	returnDelay = 5 * time.Second
	// returnPercent is the share of its processor capacity that a cell may use if it is to return workers.
	returnPercent = 50
)

// loan is a promise to hand a worker over to another cell.
type loan struct {
	borrower int
	until    time.Duration // on the clock of package boottime
}

// handOver is the assignment of workers to another cell.
type handOver struct {
	key     string // of the assignment
	cell    int
	workers []string
}

// manageWorkers changes the plan of the cells, if this is the owner of cell 0, hands workers over that belong into other
// cells, and borrows some for tasks that wait for resources. It does nothing while there is a single cell.
func (o *owner) manageWorkers(ctx context.Context, list *workerList) {
	if !o.isLoaded() || !o.member.mayDecide(o.epoch) {
		return
	}
	if o.member.cell == 0 {
		o.updatePlan(ctx, list)
	}
	table := o.node.cells.table()
	if len(table.Plan().Cells) == 1 {
		return
	}
	var handOvers []handOver
	if table.Plan().Cells[o.member.cell].Active {
		handOvers = append(o.rackHandOvers(ctx, table), o.returnHandOvers(table)...)
	} else {
		handOvers = o.departures(ctx, table)
	}
	handOvers = append(handOvers, o.loanHandOvers()...)
	o.handOverWorkers(ctx, table, handOvers)
	o.handOverTasks(ctx, table)
	o.cancelElsewhere(ctx)
	o.borrow(ctx)
}

// updatePlan stores a new plan if the workers or the processor capacity of the nodes ask for one.
func (o *owner) updatePlan(ctx context.Context, list *workerList) {
	if boottime.Now()-o.claimedAt < planDelay {
		return
	}
	capacity, settled := o.largestCapacity()
	if !settled {
		return
	}
	plan := o.node.cells.table().Plan()
	next, changed := plan.Next(cellmap.Deployment{
		Workers: list.count(), FailureDomains: list.failureDomains(), OwnerMilliCPU: capacity, OwnerDomain: o.node.settings.FailureDomain,
	})
	if !changed {
		return
	}
	stored := o.storeAssignments(ctx, []assignmentRecord{{cellmap.PlanKey, &next}})
	o.log.Info("plan of the cells stored", zap.Int("active", len(next.Active())), zap.Int("cells", len(next.Cells)),
		zap.Int("workers", list.count()), zap.Int64("capacity", capacity), zap.Bool("stored", stored))
}

// largestCapacity returns the processor capacity of the largest known node, in thousandths of a core. settled is false while
// larger nodes may not have requested the cell yet: jobs and workers that other cells get meanwhile would stay there.
func (o *owner) largestCapacity() (capacity int64, settled bool) {
	o.member.mu.Lock()
	defer o.member.mu.Unlock()
	capacity = max(o.member.view.LargestCapacity(), o.node.settings.Capacity)
	return capacity, claim.Sufficient(capacity) || o.member.view.LargerNodesHeard(boottime.Now())
}

// rackHandOvers returns the hand-overs of the idle racks that belong into other cells. Some of the others are emptied.
func (o *owner) rackHandOvers(ctx context.Context, table *cellmap.Table) []handOver {
	var racks []cell.Rack
	o.locked(func() { racks = o.cell.OwnRacks(table, o.isLent) })
	plain := make([]cellmap.Rack, len(racks))
	for i := range racks {
		plain[i] = racks[i].Rack
	}
	moves := table.Moves(o.member.cell, plain)
	reachable := make(map[int]bool)
	for _, move := range moves {
		o.checkReachable(ctx, move.Cell, reachable)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var handOvers []handOver
	cordoned := 0
	for i := range racks {
		rack := &racks[i]
		at := slices.IndexFunc(moves, func(m cellmap.Move) bool { return m.Rack == rack.Rack })
		leaves := at >= 0 && reachable[moves[at].Cell]
		switch {
		case leaves && rack.Idle:
			key := cellmap.RackKey(rack.FailureDomain, rack.Label)
			handOvers = append(handOvers, handOver{key: key, cell: moves[at].Cell, workers: rack.Workers})
		case leaves && cordoned*maxCordonedRacks < len(racks):
			cordoned++
		default:
			leaves = false
		}
		o.cell.SetCordoned(slices.DeleteFunc(slices.Clone(rack.Workers), o.isLent), leaves)
	}
	return handOvers
}

// checkReachable records whether the owner of a cell is known, unless that is recorded already.
func (o *owner) checkReachable(ctx context.Context, cell int, reachable map[int]bool) {
	if _, known := reachable[cell]; !known {
		reachable[cell] = cell == cellmap.HomeCell || o.node.ownerOf(cell) != nil || o.node.ownerAddress(ctx, cell) != ""
	}
}

// departures returns the hand-overs of a cell that is not active.
func (o *owner) departures(ctx context.Context, table *cellmap.Table) []handOver {
	var departures []cell.Departure
	o.locked(func() { departures = o.cell.Departures(table, o.isLent) })
	var handOvers []handOver
	reachable := make(map[int]bool)
	for _, d := range departures {
		if o.checkReachable(ctx, d.Cell, reachable); reachable[d.Cell] {
			handOvers = append(handOvers, handOver{key: d.Key, cell: d.Cell, workers: d.Workers})
		}
	}
	return handOvers
}

// handOverTasks hands long-running tasks that find no room in this cell over to cells that have some, and deletes the
// assignments of tasks whose jobs have ended long ago.
func (o *owner) handOverTasks(ctx context.Context, table *cellmap.Table) {
	records, tasks := o.taskHandOvers(table)
	if len(records) == 0 {
		return
	}
	stored := o.storeAssignments(ctx, records)
	o.node.metrics.GetOrCreateCounter(`cactuswall_tasks_handed_over_total{stored="` + boolLabel(stored) + `"}`).Add(len(tasks))
	o.log.Info("tasks handed over", zap.Int("tasks", len(tasks)), zap.Int("deleted", len(records)-len(tasks)), zap.Bool("stored", stored))
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range tasks {
		if stored {
			o.cell.TaskHandedOver(t.id, t.to)
		} else {
			o.cell.ReturnTask(t.id)
		}
	}
}

// cancelElsewhere stores cancellations of jobs that have ended in this cell, for cells that have tasks of them.
func (o *owner) cancelElsewhere(ctx context.Context) {
	var records []store.Record
	o.locked(func() { records = o.cell.CancelledElsewhere() })
	if len(records) == 0 {
		return
	}
	err := o.node.jobsAppender.AppendInOrder(ctx, records)
	o.log.Info("ended jobs cancelled in other cells", zap.Int("jobs", len(records)), zap.Error(err))
}

// taskMove is the hand-over of a task to a cell.
type taskMove struct {
	id jobs.TaskID
	to int
}

// taskHandOvers returns the records of what handOverTasks does, and the tasks that they hand over.
func (o *owner) taskHandOvers(table *cellmap.Table) (records []assignmentRecord, tasks []taskMove) {
	loads := o.node.loads.recent()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range o.cell.EndedGuests() {
		records = append(records, assignmentRecord{key: key})
	}
	for _, t := range o.cell.TakeStrandedTasks() {
		to, found := table.Receiver(t.Need, t.LastRun > 0, o.member.cell, loads, rand.Float64)
		if !found {
			o.cell.ReturnTask(t.Task)
			continue
		}
		loads[to] = loads[to].With(t.Need)
		tasks = append(tasks, taskMove{id: t.Task, to: to})
		records = append(records, assignmentRecord{cellmap.TaskKey(t.Task), &cellmap.TaskAssignment{Cell: to, LastRun: t.LastRun, Checkpoint: t.Checkpoint}})
	}
	return records, tasks
}

// isLent reports whether a worker was promised to another cell. The caller holds mu.
func (o *owner) isLent(worker string) bool {
	_, lent := o.loans[worker]
	return lent
}

// loanHandOvers returns the hand-overs of the idle workers that were promised to other cells. Promises that take too long
// are given up.
func (o *owner) loanHandOvers() []handOver {
	o.mu.Lock()
	defer o.mu.Unlock()
	var handOvers []handOver
	for worker, l := range o.loans {
		switch {
		case o.cell.Idle([]string{worker}):
			handOvers = append(handOvers, handOver{key: cellmap.WorkerKey(worker), cell: l.borrower, workers: []string{worker}})
			delete(o.loans, worker)
		case boottime.Now() >= l.until:
			o.cell.SetCordoned([]string{worker}, false)
			delete(o.loans, worker)
		}
	}
	return handOvers
}

// returnHandOvers returns the hand-overs of borrowed workers that are idle, once the cell has done without them.
func (o *owner) returnHandOvers(table *cellmap.Table) []handOver {
	load, ok := o.currentLoad()
	if !ok {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	if o.cell.NeedsWorkers() || load.UsedMilliCPU*100 > load.CapacityMilliCPU*returnPercent {
		o.neededAt = now
	}
	surplus := now-o.neededAt > returnDelay
	var handOvers []handOver
	for _, worker := range o.cell.Borrowed(table) {
		if o.isLent(worker) {
			continue
		}
		to, leaves := o.cell.ReturnTo(table, worker)
		leaves = leaves && surplus
		o.cell.SetCordoned([]string{worker}, leaves)
		if leaves && o.cell.Idle([]string{worker}) {
			handOvers = append(handOvers, handOver{key: cellmap.WorkerKey(worker), cell: to, workers: []string{worker}})
		}
	}
	return handOvers
}

// handOverWorkers hands idle workers over. From before their assignments are stored the cell sends them no orders, so that
// they never have two owners. If nothing was stored, they belong to the cell again.
func (o *owner) handOverWorkers(ctx context.Context, table *cellmap.Table, handOvers []handOver) {
	var workers []string
	var records []assignmentRecord
	o.locked(func() {
		handOvers = slices.DeleteFunc(handOvers, func(h handOver) bool { return !o.cell.Idle(h.workers) }) // a task was placed meanwhile
		for _, h := range handOvers {
			records = append(records, assignmentRecord{h.key, &cellmap.Assignment{Cell: h.cell}})
			for _, worker := range h.workers {
				if key := cellmap.WorkerKey(worker); key != h.key && table.Assigned(worker) { // it follows its rack from now on
					records = append(records, assignmentRecord{key, &cellmap.Assignment{Cell: cellmap.HomeCell}})
				}
			}
			workers = append(workers, h.workers...)
		}
		o.cell.Detach(workers)
	})
	if len(handOvers) == 0 {
		return
	}
	stored := o.storeAssignments(ctx, records)
	o.node.metrics.GetOrCreateCounter(`cactuswall_workers_handed_over_total{stored="` + boolLabel(stored) + `"}`).Add(len(workers))
	o.log.Info("workers handed over", zap.Int("workers", len(workers)), zap.String("first", handOvers[0].key), zap.Int("to", handOvers[0].cell),
		zap.Bool("stored", stored))
}

func boolLabel(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// assignmentRecord is a record of the topic of the cells. Without a value it deletes the key.
type assignmentRecord struct {
	key   string
	value any
}

// storeAssignments stores records of the topic of the cells under the owner's epoch and has this node's table contain them.
// If it is unknown whether they are stored, the owner gives up.
func (o *owner) storeAssignments(ctx context.Context, values []assignmentRecord) (stored bool) {
	records := make([]store.Record, len(values))
	for i, v := range values {
		if v.value == nil {
			records[i] = store.Record{Key: v.key}
			continue
		}
		value, err := recordcodec.Encode(v.value)
		if err != nil {
			o.log.Error("failed to encode record", zap.String("key", v.key), zap.Error(err))
			return false
		}
		records[i] = store.Record{Key: v.key, Value: value}
	}
	_, err := o.assignments.Append(ctx, records)
	switch {
	case err == nil:
		for ctx.Err() == nil {
			if err = o.node.cells.catchUp(ctx); err == nil {
				return true
			}
			sleep(ctx, readRetryDelay)
		}
		return true
	case verdict.Of(err) == verdict.NotRun && !store.HasReason(err, store.ReasonFenced):
		o.log.Warn("assignments not stored", zap.Error(err))
		return false
	}
	o.log.Warn("assignments may have been stored, giving up ownership", zap.Error(err))
	o.post(ctx, func() { o.fenced = true })
	return false
}

// borrow asks other cells for workers if tasks have waited for resources. A label that no cell can lend workers with leaves the tasks
// to wait that need it, and no others.
func (o *owner) borrow(ctx context.Context) {
	var shortages []cell.Shortage
	o.locked(func() { shortages = o.cell.Shortages() })
	now := boottime.Now()
	if len(shortages) == 0 || now-o.borrowedAt < borrowInterval {
		return
	}
	o.borrowedAt = now
	if shortages[len(shortages)-1].Label == "" { // the workers of the cell do not help the others
		o.neededAt = now
	}
	for _, shortage := range shortages {
		if o.borrowFor(ctx, shortage) > 0 {
			return
		}
	}
}

// borrowFor asks the cell that can do without most for workers and returns how many it will hand over.
func (o *owner) borrowFor(ctx context.Context, shortage cell.Shortage) (workers int) {
	lender, milliCPU := o.node.cells.table().Lender(o.member.cell, shortage.Label, o.node.loads.recent())
	if milliCPU == 0 {
		o.log.Info("no cell can lend workers", zap.Int64("milli_cpu", shortage.MilliCPU), zap.String("label", shortage.Label))
		return 0
	}
	workers = o.node.askToLend(ctx, lender, o.member.cell, min(shortage.MilliCPU, milliCPU), shortage.Label)
	o.log.Info("workers requested from another cell", zap.Int("from", lender), zap.Int64("milli_cpu", shortage.MilliCPU),
		zap.String("label", shortage.Label), zap.Int("promised", workers))
	return workers
}

// askToLend asks the owner of a cell for workers and returns how many it will hand over.
func (n *Node) askToLend(ctx context.Context, lender, borrower int, milliCPU int64, label string) int {
	request := &cellrpc.LendRequest{Cell: int32(lender), Borrower: int32(borrower), MilliCpu: milliCPU, Label: label}
	if n.ownerOf(lender) != nil {
		reply, err := cellServer{n}.Lend(ctx, request)
		if err != nil {
			return 0
		}
		return int(reply.Workers)
	}
	address := n.ownerAddress(ctx, lender)
	if address == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := n.peers.ownerClient(address).Lend(ctx, request)
	if err != nil || !reply.Owner {
		n.ownerFailed(lender)
		return 0
	}
	return int(reply.Workers)
}

// Lend promises workers of a cell that this node owns to another cell, as far as the cell can do without them.
func (s cellServer) Lend(_ context.Context, r *cellrpc.LendRequest) (*cellrpc.LendReply, error) {
	if r.Borrower < 0 || int(r.Borrower) >= len(s.node.cells.table().Plan().Cells) || r.Borrower == r.Cell {
		return nil, twirp.InvalidArgumentError("borrower", "names no other cell")
	}
	o := s.node.ownerOf(int(r.Cell))
	if o == nil {
		return &cellrpc.LendReply{}, nil
	}
	load, ok := o.currentLoad()
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the owner has not loaded its state")
	}
	lendable, timeout := min(r.MilliCpu, load.Lendable()), loanTimeout
	depends := s.node.cells.table().DependsOnLoans(int(r.Borrower), s.node.loads.recent())
	if lendable == 0 && depends {
		lendable, timeout = r.MilliCpu, busyLoanTimeout
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.loans) > 0 { // what was promised is still part of the load
		return &cellrpc.LendReply{Owner: true}, nil
	}
	workers := o.cell.Lend(lendable, r.Label)
	if len(workers) == 0 && depends {
		if worker := o.cell.Vacate(r.Label); worker != "" {
			workers, timeout = []string{worker}, busyLoanTimeout
		}
	}
	for _, worker := range workers {
		o.loans[worker] = loan{borrower: int(r.Borrower), until: boottime.Now() + timeout}
	}
	return &cellrpc.LendReply{Owner: true, Workers: int32(len(workers))}, nil
}
