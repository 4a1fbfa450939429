// Package cellmap divides a deployment into cells. A cell has one owner at a time, which schedules jobs on the workers of
// the cell. The package decides how many cells there are and where their borders lie, tells which cell a worker belongs
// to, and chooses the cell of a new job. It does no I/O and reads no clock.
package cellmap

import (
	"slices"
)

// MaxCells is the largest number of cells that a plan may list. Each cell has a partition in two topics, and the store
// offers at least 32 partitions a topic.
const MaxCells = 30

const (
	// milliCPUPer1000Workers is the processor time, in thousandths of a core, that an owner needs for 1,000 workers on
	// which 2.2 tasks start a second each, the rate of the largest deployments (docs/PLATFORM.md, Larger deployments).
	milliCPUPer1000Workers = 550
	// ownerSharePercent is the share of a node's processor time that its cell may need.
	ownerSharePercent = 50
	// shrinkFactor is how many times over a smaller number of cells has to suffice before it is taken, so that a
	// deployment at the limit does not change back and forth.
	shrinkFactor = 2
)

// Plan lists the cells by number. Cells are only added, so that a number keeps its meaning.
type Plan struct {
	Cells []PlannedCell
}

// PlannedCell is a cell of a plan.
type PlannedCell struct {
	// FailureDomain is the failure domain whose workers the cell should have, or empty for those of all.
	FailureDomain string
	// Active is set while the cell should have workers and take new jobs. The owner of another cell finishes its jobs and
	// gives its workers away.
	Active bool
}

// SingleCell is the plan of a deployment whose store has none: cell 0 has all workers.
func SingleCell() Plan { return Plan{Cells: []PlannedCell{{Active: true}}} }

// Deployment is what the number of cells depends on.
type Deployment struct {
	Workers int
	// FailureDomains are the failure domains of the workers, sorted.
	FailureDomains []string
	// OwnerMilliCPU is the processor capacity of the largest known node, in thousandths of a core; 0 if unknown.
	OwnerMilliCPU int64
	// OwnerDomain is the failure domain of the owner of cell 0, which becomes that of the cell.
	OwnerDomain string
}

// Next returns the plan for a deployment that has plan p, and whether it differs from p. There is one cell while half of
// a node's processor time suffices for all workers, and otherwise one cell or more in each failure domain. A failure
// domain that has workers and no cell gets one.
func (p Plan) Next(d Deployment) (next Plan, changed bool) {
	budget := d.OwnerMilliCPU * ownerSharePercent / 100
	if budget <= 0 || len(d.FailureDomains) == 0 {
		return p, false
	}
	demand := int64(d.Workers) * milliCPUPer1000Workers / 1000
	perDomain := p.perDomain()
	if needed := d.perDomain(demand, budget); needed > perDomain {
		perDomain = needed
	} else if enough := d.perDomain(shrinkFactor*demand, budget); enough < perDomain {
		perDomain = enough
	}
	next = p.withCells(perDomain, d)
	return next, !slices.Equal(next.Cells, p.Cells)
}

// perDomain returns the number of cells that each failure domain needs for a demand of processor time, where one owner
// may use budget; 0 means that one cell suffices for all.
func (d *Deployment) perDomain(demand, budget int64) int {
	needed := divideRoundingUp(demand, budget)
	if needed <= 1 {
		return 0
	}
	domains := int64(len(d.FailureDomains))
	return int(min(divideRoundingUp(needed, domains), MaxCells/domains))
}

func divideRoundingUp(a, b int64) int64 { return (a + b - 1) / b }

// perDomain returns the largest number of active cells of a failure domain, or 0 if one cell has all workers.
func (p Plan) perDomain() int {
	most := 0
	for _, c := range p.Cells {
		if c.Active && c.FailureDomain != "" {
			most = max(most, len(p.activeIn(c.FailureDomain)))
		}
	}
	return most
}

// activeIn returns the active cells of a failure domain.
func (p Plan) activeIn(domain string) []int {
	var cells []int
	for number, c := range p.Cells {
		if c.Active && c.FailureDomain == domain {
			cells = append(cells, number)
		}
	}
	return cells
}

// withCells returns the plan with perDomain active cells in each failure domain. Cell 0 always stays active.
func (p Plan) withCells(perDomain int, d Deployment) Plan {
	cells := slices.Clone(p.Cells)
	for i := range cells {
		cells[i].Active = false
	}
	cells[0].Active = true
	if perDomain == 0 {
		cells[0].FailureDomain = ""
		return Plan{Cells: cells}
	}
	if cells[0].FailureDomain == "" {
		cells[0].FailureDomain = d.OwnerDomain
	}
	for _, domain := range d.FailureDomains {
		missing := perDomain
		for i := range cells {
			if cells[i].FailureDomain == domain && missing > 0 {
				cells[i].Active = true
				missing--
			}
		}
		for ; missing > 0 && len(cells) < MaxCells; missing-- {
			cells = append(cells, PlannedCell{FailureDomain: domain, Active: true})
		}
	}
	return Plan{Cells: cells}
}

// Homes returns the active cells that callers in a failure domain are served by while nothing speaks against it: those of
// the failure domain or, without any, those that serve all or every active one.
func (p Plan) Homes(domain string) []int {
	if cells := p.activeIn(domain); len(cells) > 0 {
		return cells
	}
	if cells := p.activeIn(""); len(cells) > 0 {
		return cells
	}
	return p.Active()
}

// Active returns the numbers of the active cells.
func (p Plan) Active() []int {
	var cells []int
	for number, c := range p.Cells {
		if c.Active {
			cells = append(cells, number)
		}
	}
	return cells
}

// valid reports whether a plan that was read can be used.
func (p Plan) valid() bool {
	return len(p.Cells) > 0 && len(p.Cells) <= MaxCells && p.Cells[0].Active
}
