package cellmap

// Rack is a rack with workers of one cell.
type Rack struct {
	FailureDomain, Label string
	// Busy is set if something that never ends by itself runs on the rack.
	Busy bool
	// Runs is the number of tasks on the rack.
	Runs int
}

// Move is the assignment of a rack to another cell.
type Move struct {
	Rack Rack
	Cell int
}

// Moves returns the racks that the owner of a cell should give to others. racks are all that the cell has. A rack belongs
// into an active cell of its failure domain, and the cells of one failure domain get equally many.
func (t *Table) Moves(cell int, racks []Rack) []Move {
	counts := t.rackCounts(cell, racks)
	var moves []Move
	for _, rack := range racks {
		homes := t.plan.Homes(rack.FailureDomain)
		to, stays := homes[0], false
		for _, home := range homes {
			stays = stays || home == cell
			if counts[home] < counts[to] {
				to = home
			}
		}
		if rack.Busy || to == cell || stays && counts[cell] <= counts[to]+1 {
			continue
		}
		counts[cell]--
		counts[to]++
		moves = append(moves, Move{Rack: rack, Cell: to})
	}
	return moves
}

// rackCounts returns the number of racks of each cell.
func (t *Table) rackCounts(cell int, racks []Rack) map[int]int {
	counts := map[int]int{cell: len(racks)}
	for _, entry := range t.racks {
		if entry.cell != cell {
			counts[entry.cell]++
		}
	}
	return counts
}
