package cell

import (
	"cmp"
	"slices"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobs"
)

// Departure is the assignment of workers of a cell that is not active to another one.
type Departure struct {
	Key     string // of the assignment
	Cell    int
	Workers []string
}

// Departures returns what a cell that is not active hands over: its idle workers that its unfinished jobs do not need, by racks
// where all workers of a rack leave and one by one otherwise, since a rack with a long-running task would keep the others for
// good. lent reports whether a worker was promised to another cell. All others may be used until they leave.
func (c *Cell) Departures(table *cellmap.Table, lent func(worker string) bool) []Departure {
	for _, w := range c.sortedWorkers() {
		c.SetCordoned([]string{w.info.ID}, lent(w.info.ID))
	}
	borrowed := c.Borrowed(table)
	racks := c.OwnRacks(table, lent)
	leaving := c.spareWorkers(racks, borrowed, lent)
	departures := rackDepartures(table, c.number, racks, leaving)
	for _, id := range borrowed {
		if to, leaves := c.ReturnTo(table, id); leaves && leaving[id] {
			departures = append(departures, Departure{Key: cellmap.WorkerKey(id), Cell: to, Workers: []string{id}})
		}
	}
	return departures
}

// rackDepartures returns the departures of the workers of a cell's own racks.
func rackDepartures(table *cellmap.Table, number int, racks []Rack, leaving map[string]bool) []Departure {
	plain := make([]cellmap.Rack, len(racks))
	for i := range racks {
		plain[i] = racks[i].Rack
		plain[i].Busy = false
	}
	var departures []Departure
	for _, move := range table.Moves(number, plain) {
		rack := &racks[slices.Index(plain, move.Rack)]
		workers := rack.Workers
		if rack.Idle && !slices.ContainsFunc(workers, func(id string) bool { return !leaving[id] }) {
			key := cellmap.RackKey(move.Rack.FailureDomain, move.Rack.Label)
			departures = append(departures, Departure{Key: key, Cell: move.Cell, Workers: workers})
			continue
		}
		for _, id := range workers {
			if leaving[id] {
				departures = append(departures, Departure{Key: cellmap.WorkerKey(id), Cell: move.Cell, Workers: []string{id}})
			}
		}
	}
	return departures
}

// Borrowed returns the IDs of the registered workers whose racks belong to other cells, sorted.
func (c *Cell) Borrowed(table *cellmap.Table) []string {
	var ids []string
	for _, w := range c.sortedWorkers() {
		if w.listed && table.Borrowed(&w.info) {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// OwnRacks returns the racks of the cell without borrowed workers. A rack with a worker that was promised to another cell is not
// idle: that worker leaves by itself, and its runs would be handed over with the rack.
func (c *Cell) OwnRacks(table *cellmap.Table, lent func(worker string) bool) []Rack {
	borrowed := c.Borrowed(table)
	racks := c.Racks(func(worker string) bool {
		_, found := slices.BinarySearch(borrowed, worker)
		return !found
	})
	for i := range racks {
		racks[i].Idle = racks[i].Idle && !slices.ContainsFunc(racks[i].Workers, lent)
	}
	return racks
}

// ReturnTo returns where a borrowed worker goes that the cell does not need any more. leaves is false if it stays.
func (c *Cell) ReturnTo(table *cellmap.Table, id string) (to int, leaves bool) {
	return table.ReturnTo(&c.workers[id].info, c.number)
}

// spareWorkers returns the idle workers that the cell's unfinished jobs do not need. Those on racks that stay for other reasons
// are kept first, borrowed ones last.
func (c *Cell) spareWorkers(racks []Rack, borrowed []string, lent func(worker string) bool) map[string]bool {
	var candidates []string
	for _, idle := range []bool{false, true} {
		for i := range racks {
			if racks[i].Idle == idle {
				candidates = append(candidates, racks[i].Workers...)
			}
		}
	}
	candidates = append(candidates, borrowed...)
	candidates = slices.DeleteFunc(candidates, func(id string) bool { return lent(id) || !c.Idle([]string{id}) })
	spare, free := make(map[string]bool, len(candidates)), make(map[string]jobs.Resources, len(candidates))
	for _, id := range candidates {
		spare[id], free[id] = true, c.workers[id].info.Capacity
	}
	if len(candidates) == 0 {
		return spare
	}
	for _, need := range c.unstartedWork() {
		for _, id := range candidates {
			fitting := min(need.tasks, need.mostOn(c.workers[id], free[id]))
			if fitting == 0 {
				continue
			}
			delete(spare, id)
			need.tasks -= fitting
			for range fitting {
				free[id] = free[id].Sub(need.request)
			}
		}
	}
	return spare
}

// unstarted is a number of tasks that have not been started and need the same of a worker.
type unstarted struct {
	service, label string
	request        jobs.Resources
	perWorker      int // most tasks on one worker; 0 for no limit
	tasks          int
}

// mostOn returns how many of the tasks fit into free resources of a worker.
func (u *unstarted) mostOn(w *worker, free jobs.Resources) int {
	if w.info.Service != u.service || u.label != "" && !hasLabel(w, u.label) {
		return 0
	}
	fitting := fittingTasks(free, u.request)
	if u.perWorker > 0 {
		return min(fitting, u.perWorker)
	}
	return fitting
}

// unstartedWork returns the tasks of the cell's jobs that have still to be started, also of steps that are not ready, largest
// requests first. Long-running ones that may run in any cell are left out. Best-effort ones count with the processor capacity that
// they would use.
func (c *Cell) unstartedWork() []unstarted {
	counts := make(map[unstarted]int)
	for _, j := range c.jobs {
		if !j.live() {
			continue
		}
		for _, g := range j.groups {
			if g.toStart == 0 || g.mayLeaveCell() || !startsSomeTime(&j.record.Spec, g.step) {
				continue
			}
			counts[unstarted{
				service: c.platformServiceOf(j), label: g.step.RequiredLabel, request: g.step.Request, perWorker: g.step.MaxPerWorker,
			}] += g.toStart
		}
	}
	work := make([]unstarted, 0, len(counts))
	for need, tasks := range counts {
		need.tasks = tasks
		work = append(work, need)
	}
	slices.SortFunc(work, func(a, b unstarted) int {
		return cmp.Or(cmp.Compare(b.request.MilliCPU, a.request.MilliCPU), cmp.Compare(b.request.MemoryMB, a.request.MemoryMB),
			cmp.Compare(a.service, b.service), cmp.Compare(a.label, b.label), cmp.Compare(a.perWorker, b.perWorker), cmp.Compare(a.request.GPU, b.request.GPU))
	})
	return work
}

// mayLeaveCell reports whether the group's tasks that have still to be started may run in any cell: long-running ones, except in gangs. A
// ready group stays until a round has found no room for it, since its tasks start later elsewhere, see TakeStrandedTasks.
func (g *group) mayLeaveCell() bool {
	return g.step.LongRunning && !g.step.Gang && (!g.ready || g.waitReason == waitRoom)
}

// startsSomeTime reports whether none of the steps that a step depends on is long-running.
func startsSomeTime(spec *jobs.Spec, step *jobs.Step) bool {
	return !slices.ContainsFunc(step.DependsOn, func(earlier int) bool {
		return spec.Steps[earlier].LongRunning || !startsSomeTime(spec, &spec.Steps[earlier])
	})
}
