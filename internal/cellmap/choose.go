package cellmap

import (
	"math"
	"slices"
)

const (
	// calmPercent is the share of its capacity that a cell may use or wait for before new jobs go to other cells.
	calmPercent = 50
	// tolerancePercent is by how much more of its capacity than the average of all cells a cell may use. The share of the
	// new jobs that go to other cells rises from there and is everything at twice that, so that the nodes, which choose
	// from the same picture, do not all move their jobs at once.
	tolerancePercent = 4
	// lendPercent is the share of its capacity up to which a cell lends what it does not use.
	lendPercent = 85
)

// Load is what the owner of a cell says about it. Processor capacities are in thousandths of a core.
type Load struct {
	Cell                                            int
	CapacityMilliCPU, UsedMilliCPU, WaitingMilliCPU int64
	// Labels are all labels of its workers.
	Labels []string
	// Overloaded is set while the owner is short of processor time.
	Overloaded bool
}

// pressure returns the processor capacity that is in use or waited for, in percent of the capacity. A cell whose owner is
// short of processor time counts as full.
func (l *Load) pressure() float64 {
	if l.Overloaded || l.CapacityMilliCPU <= 0 {
		return overloadedPercent
	}
	return 100 * float64(l.UsedMilliCPU+l.WaitingMilliCPU) / float64(l.CapacityMilliCPU)
}

// overloadedPercent is the pressure of a cell that cannot take anything. Long queues may be above it.
const overloadedPercent = 200

// Lendable returns the processor capacity, in thousandths of a core, that the cell can do without.
func (l *Load) Lendable() int64 {
	return max(0, l.CapacityMilliCPU*lendPercent/100-l.UsedMilliCPU-l.WaitingMilliCPU)
}

// Need is what a new job needs of its cell.
type Need struct {
	// Labels are the labels that its steps require.
	Labels []string
	// DataRack is the rack that holds the data of a step, or empty.
	DataRack string
}

// Choose returns the cell for a job that was received in a failure domain. loads holds what is known of the cells, by
// number; random returns a number from 0 up to, but not including, 1.
//
// The job stays with the cell of its data or, without any, in its failure domain, unless that cell lacks a label or uses
// clearly more of its capacity than the average cell. Then another cell is drawn, each as likely as it is below the
// average.
func (t *Table) Choose(need Need, domain string, loads map[int]Load, random func() float64) int {
	homes := t.plan.Homes(domain)
	if cell, known := t.dataRacks[need.DataRack]; known && need.DataRack != "" && t.plan.Cells[cell].Active {
		homes = []int{cell}
	}
	home := leastPressed(homes, loads)
	load, known := loads[home]
	if !known {
		return home
	}
	able := t.able(need, loads)
	average := averagePressure(able)
	excess := load.pressure() - max(calmPercent, average+tolerancePercent)
	switch labelled := hasLabels(&load, need); {
	case len(able) == 0, labelled && excess <= 0, labelled && random() >= excess/tolerancePercent:
		return home
	}
	return draw(able, home, average, random)
}

// able returns the loads of the active cells that have all labels.
func (t *Table) able(need Need, loads map[int]Load) []Load {
	var able []Load
	for _, cell := range t.plan.Active() {
		if load, known := loads[cell]; known && hasLabels(&load, need) {
			able = append(able, load)
		}
	}
	return able
}

// averagePressure returns the pressure of all cells together.
func averagePressure(loads []Load) float64 {
	taken, capacity := 0.0, 0.0
	for i := range loads {
		taken += loads[i].pressure() * float64(loads[i].CapacityMilliCPU)
		capacity += float64(loads[i].CapacityMilliCPU)
	}
	return taken / max(1, capacity)
}

// draw returns a cell other than home, each as likely as it has capacity below the average pressure. Without any it returns
// the one with the lowest pressure.
func draw(loads []Load, home int, average float64, random func() float64) int {
	weight := func(l *Load) float64 {
		if l.Cell == home {
			return 0
		}
		return max(0, average-l.pressure()) * float64(l.CapacityMilliCPU)
	}
	total, calmest := 0.0, 0
	for i := range loads {
		total += weight(&loads[i])
		if loads[i].pressure() < loads[calmest].pressure() {
			calmest = i
		}
	}
	drawn := random() * total
	for i := range loads {
		if drawn -= weight(&loads[i]); drawn < 0 {
			return loads[i].Cell
		}
	}
	return loads[calmest].Cell
}

func hasLabels(l *Load, need Need) bool {
	for _, label := range need.Labels {
		if !slices.Contains(l.Labels, label) {
			return false
		}
	}
	return true
}

// leastPressed returns the cell of a list with the lowest pressure. One of which nothing is known comes first.
func leastPressed(cells []int, loads map[int]Load) int {
	best, lowest := cells[0], math.Inf(1)
	for _, cell := range cells {
		load, known := loads[cell]
		if !known {
			return cell
		}
		if pressure := load.pressure(); pressure < lowest {
			best, lowest = cell, pressure
		}
	}
	return best
}
