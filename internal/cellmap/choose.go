package cellmap

import "slices"

const (
	// calmPercent is the share of its room that a cell may use before new jobs go to other cells.
	calmPercent = 50
	// lendPercent is the share of its room up to which a cell lends what it does not use.
	lendPercent = 85
)

// Load is what the owner of a cell says about it. Room is counted in thousandths of a core: where more of the memory than
// of the processors is in use, that share of the processors counts as used.
type Load struct {
	Cell                                            int
	CapacityMilliCPU, UsedMilliCPU, WaitingMilliCPU int64
	// Labels are all labels of its workers.
	Labels []string
	// Overloaded is set while the owner is short of processor time. The cell then counts as full.
	Overloaded bool
	// BestEffort is the room for best-effort tasks, which request none of the above.
	BestEffort Room
}

// Room is the processor capacity that a cell has for some kind of task, in thousandths of a core: how much there is, how
// much of it is used and how much is waited for.
type Room struct {
	CapacityMilliCPU, UsedMilliCPU, WaitingMilliCPU int64
}

// withRoom returns the load with another room in place of that for tasks that request their capacity.
func (l Load) withRoom(r Room) Load {
	l.CapacityMilliCPU, l.UsedMilliCPU, l.WaitingMilliCPU = r.CapacityMilliCPU, r.UsedMilliCPU, r.WaitingMilliCPU
	return l
}

// room returns how much of the room below a share of the capacity is neither used nor waited for.
func (l *Load) room(percent int64) int64 {
	if l.Overloaded {
		return 0
	}
	return max(0, l.CapacityMilliCPU*percent/100-l.UsedMilliCPU-l.WaitingMilliCPU)
}

// freeShare returns the free share of the capacity, from 0 to 1.
func (l *Load) freeShare() float64 { return float64(l.room(100)) / float64(max(1, l.CapacityMilliCPU)) }

// queue returns what waits beyond the capacity, as a share of it. That of a cell that counts as full is at least 1.
func (l *Load) queue() float64 {
	queue := float64(l.UsedMilliCPU+l.WaitingMilliCPU-l.CapacityMilliCPU) / float64(max(1, l.CapacityMilliCPU))
	if l.Overloaded {
		return max(1, queue)
	}
	return max(0, queue)
}

// Lendable returns the processor capacity, in thousandths of a core, that the cell can do without.
func (l *Load) Lendable() int64 { return l.room(lendPercent) }

// DependsOnLoans reports whether a cell gets no workers unless others lend some: it is not active, or has no capacity.
func (t *Table) DependsOnLoans(cell int, loads map[int]Load) bool {
	load, known := loads[cell]
	return !t.plan.Cells[cell].Active || known && load.CapacityMilliCPU == 0
}

// Lender returns the cell from which another one borrows workers, with a label unless that is empty, and how much of its processor
// capacity, in thousandths of a core: the one that can do without most. 0: none can.
//
// If none can do without some, a cell that depends on loans borrows from an active cell for as long as less waits there than in the
// borrower, as a share of the capacity.
func (t *Table) Lender(borrower int, label string, loads map[int]Load) (cell int, milliCPU int64) {
	var able []Load
	for number := range t.plan.Cells {
		if load, known := loads[number]; known && number != borrower && (label == "" || t.mayHave(&load, label, loads, false)) {
			able = append(able, load)
		}
	}
	for i := range able {
		if lendable := able[i].Lendable(); lendable > milliCPU {
			cell, milliCPU = able[i].Cell, lendable
		}
	}
	if milliCPU > 0 || !t.DependsOnLoans(borrower, loads) {
		return cell, milliCPU
	}
	own := loads[borrower]
	own.WaitingMilliCPU += own.BestEffort.WaitingMilliCPU
	longest := own.queue()
	for i := range able {
		if queue := able[i].queue(); t.plan.Cells[able[i].Cell].Active && queue < longest {
			cell, milliCPU, longest = able[i].Cell, able[i].CapacityMilliCPU, queue
		}
	}
	return cell, milliCPU
}

// Need is what a new job, or a task that changes its cell, needs of it.
type Need struct {
	// Labels are the labels that its steps require.
	Labels []string
	// DataRack is the rack that holds the data of a step, or empty.
	DataRack string
	// MilliCPU is the processor capacity that its first steps request or, with BestEffort set, would use, in thousandths of a
	// core.
	MilliCPU int64
	// BestEffort is set if all of its first steps are best-effort.
	BestEffort bool
}

// With returns the load once a task has come to the cell.
func (l Load) With(need Need) Load {
	if need.BestEffort {
		l.BestEffort.UsedMilliCPU += need.MilliCPU
	} else {
		l.UsedMilliCPU += need.MilliCPU
	}
	return l
}

// loadsFor returns the loads with the room that a job competes for.
func loadsFor(need Need, loads map[int]Load) map[int]Load {
	if !need.BestEffort {
		return loads
	}
	bestEffort := make(map[int]Load, len(loads))
	for cell, load := range loads {
		bestEffort[cell] = load.withRoom(load.BestEffort)
	}
	return bestEffort
}

// Choose returns the cell for a job that was received in a failure domain. loads holds what is known of the cells, by
// number; random returns a number from 0 up to, but not including, 1.
//
// The job stays with the cell of its data or, without any, in its failure domain, unless that cell lacks a label or has a
// smaller share of its room free than all cells together. The smaller its share, the more of its jobs go elsewhere, to each
// cell as many as it has room for: many nodes choose from the same picture, and must not all choose the same cell. Without
// room anywhere, jobs go where fewer wait.
func (t *Table) Choose(need Need, domain string, loads map[int]Load, random func() float64) int {
	loads = loadsFor(need, loads)
	homes := t.plan.Homes(domain)
	if cell, known := t.dataRacks[need.DataRack]; known && need.DataRack != "" && t.plan.Cells[cell].Active {
		homes = []int{cell}
	}
	home := mostFree(homes, loads)
	load, known := loads[home]
	if !known {
		return home
	}
	able := t.able(need, loads, false)
	if len(able) == 0 {
		return home
	}
	free, average := load.freeShare(), averageFreeShare(able)
	isAble := slices.ContainsFunc(able, func(l Load) bool { return l.Cell == home })
	if isAble && (load.room(calmPercent) > 0 || free > 0 && free >= random()*average) {
		return home
	}
	return draw(able, home, random)
}

// Receiver returns the cell for a task that finds no room in the cell where it is: another active one that has the labels it needs,
// each as likely as it has room. found is false if none has room for it.
//
// An interrupted task comes before all work that waits in its new cell. If no cell has room beside what waits there, such a task
// goes to one where other work waits for the room. A task of a cell that is not active goes to an active one in any case, to wait there
// by its urgency like all others.
func (t *Table) Receiver(need Need, interrupted bool, from int, loads map[int]Load, random func() float64) (cell int, found bool) {
	able := t.withRoom(need, from, loads)
	if len(able) == 0 && interrupted {
		able = t.withRoom(need, from, withoutWaiting(loads))
	}
	if len(able) == 0 && !t.plan.Cells[from].Active {
		able = slices.DeleteFunc(t.receivers(need, from, loads), func(l Load) bool { return l.CapacityMilliCPU == 0 })
	}
	if len(able) == 0 {
		return 0, false
	}
	return draw(able, from, random), true // able does not contain from
}

// withRoom returns the loads of the cells other than from that a task may go to and that have room for it.
func (t *Table) withRoom(need Need, from int, loads map[int]Load) []Load {
	return slices.DeleteFunc(t.receivers(need, from, loads), func(l Load) bool { return l.room(100) < need.MilliCPU })
}

// receivers returns the loads of the active cells other than from that may have the labels of a task. Those of the racks of a cell
// that is not active, and hands its workers over, may be in any.
func (t *Table) receivers(need Need, from int, loads map[int]Load) []Load {
	return slices.DeleteFunc(t.able(need, loadsFor(need, loads), true), func(l Load) bool { return l.Cell == from })
}

// mayHave reports whether a cell has a label. Loads do not name racks, so that a label which none of them names is taken for that of
// a rack, which its cell has: cell 0, if the rack has no assignment. With leaving set, a rack of a cell that is not active counts for all
// cells.
func (t *Table) mayHave(l *Load, label string, loads map[int]Load, leaving bool) bool {
	if slices.Contains(l.Labels, label) {
		return true
	}
	for _, other := range loads {
		if slices.Contains(other.Labels, label) {
			return false
		}
	}
	cell := t.dataRacks[label]
	return cell == l.Cell || leaving && !t.plan.Cells[cell].Active
}

// withoutWaiting returns the loads as they are for work that comes before all that waits.
func withoutWaiting(loads map[int]Load) map[int]Load {
	first := make(map[int]Load, len(loads))
	for cell, load := range loads {
		load.WaitingMilliCPU, load.BestEffort.WaitingMilliCPU = 0, 0
		first[cell] = load
	}
	return first
}

// able returns the loads of the active cells that have all labels; see mayHave.
func (t *Table) able(need Need, loads map[int]Load, leaving bool) []Load {
	var able []Load
	for _, cell := range t.plan.Active() {
		load, known := loads[cell]
		lacks := func(label string) bool { return !t.mayHave(&load, label, loads, leaving) }
		if known && !slices.ContainsFunc(need.Labels, lacks) {
			able = append(able, load)
		}
	}
	return able
}

// averageFreeShare returns the free share of the capacity of all cells together.
func averageFreeShare(loads []Load) float64 {
	free, capacity := int64(0), int64(0)
	for i := range loads {
		free += loads[i].room(100)
		capacity += loads[i].CapacityMilliCPU
	}
	return float64(free) / float64(max(1, capacity))
}

// draw returns a cell other than home, each as likely as it has room. If none has room, cells are the more likely the
// shorter their queues are, home included.
func draw(loads []Load, home int, random func() float64) int {
	weights, total := make([]float64, len(loads)), 0.0
	for i := range loads {
		if loads[i].Cell != home {
			weights[i] = float64(loads[i].room(100))
			total += weights[i]
		}
	}
	if total == 0 {
		longest := 0.0
		for i := range loads {
			longest = max(longest, loads[i].queue())
		}
		for i := range loads {
			weights[i] = longest - loads[i].queue()
			total += weights[i]
		}
	}
	drawn := random() * total
	for i := range loads {
		if drawn -= weights[i]; drawn < 0 {
			return loads[i].Cell
		}
	}
	if !slices.ContainsFunc(loads, func(l Load) bool { return l.Cell == home }) {
		return loads[int(random()*float64(len(loads)))].Cell
	}
	return home
}

// mostFree returns the cell of a list with the largest free share. One of which nothing is known comes first.
func mostFree(cells []int, loads map[int]Load) int {
	best, largest := cells[0], -1.0
	for _, cell := range cells {
		load, known := loads[cell]
		if !known {
			return cell
		}
		if free := load.freeShare(); free > largest {
			best, largest = cell, free
		}
	}
	return best
}
