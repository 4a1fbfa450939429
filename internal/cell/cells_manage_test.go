package cell

import (
	"maps"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/cellmap"
)

// mayManage reports whether the owner of a cell may hand workers and tasks over now.
func (sim *simulation) mayManage(home *simCell) bool {
	o := home.owner
	return !o.ended && !o.suspended && sim.holdsClaim(o) && len(o.detached) == 0
}

// loads returns what the owners of all cells say about them.
func (sim *simulation) loads() map[int]cellmap.Load {
	loads := make(map[int]cellmap.Load)
	for _, home := range sim.cells {
		if o := home.owner; !o.ended && !o.suspended && o.loaded {
			l := o.cell.CurrentLoad()
			loads[home.number] = cellmap.Load{
				Cell: home.number, CapacityMilliCPU: l.Capacity, UsedMilliCPU: l.Used, WaitingMilliCPU: l.Waiting, Labels: l.Labels, BestEffort: l.BestEffort,
			}
		}
	}
	return loads
}

// manage does for a cell what package cellnode does between two reads of the workers: it hands over what an inactive cell gives
// away, workers that were promised and tasks without room, and borrows workers.
func (sim *simulation) manage(home *simCell) {
	if !sim.mayManage(home) {
		return
	}
	o := home.owner
	maps.DeleteFunc(home.loans, func(_ string, l simLoan) bool { return l.owner != o })
	sim.depart(home)
	for _, id := range slices.Sorted(maps.Keys(home.loans)) {
		loan := home.loans[id]
		if sim.handOver(home, id, loan.borrower, handOverCompletes) {
			delete(home.loans, id)
		} else if sim.now >= loan.until {
			o.cell.SetCordoned([]string{id}, false)
			delete(home.loans, id)
		}
	}
	loads := sim.loads()
	sim.handOverTasksTo(home, handOverCompletes, func(t TaskHandOver) (int, bool) {
		to, found := o.table.Receiver(t.Need, t.LastRun > 0, home.number, loads, sim.random.Float64)
		loads[to] = loads[to].With(t.Need)
		return to, found
	})
	for _, shortage := range o.cell.Shortages() {
		if sim.borrowFor(home, shortage, loads) {
			return
		}
	}
}

// borrowFor has another cell promise workers and reports whether it did so.
func (sim *simulation) borrowFor(home *simCell, shortage Shortage, loads map[int]cellmap.Load) bool {
	table := home.owner.table
	lender, milliCPU := table.Lender(home.number, shortage.Label, loads)
	from := sim.cells[lender]
	if milliCPU == 0 || len(from.loans) > 0 || !sim.mayManage(from) {
		return false
	}
	lent := from.owner.cell.Lend(min(milliCPU, shortage.MilliCPU), shortage.Label)
	if len(lent) == 0 && table.DependsOnLoans(home.number, loads) {
		lent = slices.DeleteFunc([]string{from.owner.cell.Vacate(shortage.Label)}, func(id string) bool { return id == "" })
	}
	for _, id := range lent {
		from.loans[id] = simLoan{owner: from.owner, borrower: home.number, until: sim.now + 5*time.Second}
	}
	return len(lent) > 0
}

// simLoan is a worker that an owner has promised to another cell.
type simLoan struct {
	owner    *simOwner
	borrower int
	until    time.Duration
}

// runAndManage advances the simulation by d. Twice a second all owners manage their workers.
func (sim *simulation) runAndManage(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.run(500 * time.Millisecond)
		for _, home := range sim.cells {
			sim.manage(home)
		}
	}
}
