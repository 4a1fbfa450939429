package cellmap

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

func record(key string, offset store.Offset, value any) store.Record {
	encoded, err := recordcodec.Encode(value)
	if err != nil {
		panic(err) // the records of this package can be encoded
	}
	return store.Record{Key: key, Value: encoded, Offset: offset}
}

func domains(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	return names
}

func active(p Plan) map[string]int {
	counts := make(map[string]int)
	for _, number := range p.Active() {
		counts[p.Cells[number].FailureDomain]++
	}
	return counts
}

func TestNumberOfCells(t *testing.T) {
	for _, c := range []struct {
		name              string
		workers, domains  int
		capacity          int64
		perDomain, active int
	}{
		{"48 workers and nodes of 0.16 of a core: one cell", 48, 3, 160, 0, 1},
		{"350 workers and nodes of 0.8 of a core: one cell", 350, 5, 800, 0, 1},
		{"350 workers and nodes of 0.11 of a core: one in each failure domain", 350, 5, 110, 1, 5},
		{"1,100 workers and nodes of 0.8 of a core: one in each failure domain", 1100, 5, 800, 1, 5},
		{"1,100 workers and nodes of 0.192 of a core: two in each failure domain", 1100, 5, 192, 2, 10},
		{"more than the store has partitions for", 100000, 7, 110, 4, 28},
		{"unknown capacity: as before", 1100, 5, 0, 0, 1},
	} {
		Convey(c.name, t, func() {
			plan, changed := SingleCell().Next(Deployment{Workers: c.workers, FailureDomains: domains(c.domains), OwnerMilliCPU: c.capacity, OwnerDomain: "d1"})
			So(len(plan.Active()), ShouldEqual, c.active)
			So(changed, ShouldEqual, c.active > 1)
			if c.perDomain > 0 {
				So(plan.Cells[0].FailureDomain, ShouldEqual, "d1")
				So(active(plan), ShouldHaveLength, c.domains)
				for _, count := range active(plan) {
					So(count, ShouldEqual, c.perDomain)
				}
			}
		})
	}
}

func TestNumberOfCellsChangesWhileRunning(t *testing.T) {
	Convey("Given a deployment that grows and shrinks", t, func() {
		d := Deployment{Workers: 1100, FailureDomains: domains(5), OwnerMilliCPU: 800, OwnerDomain: "d0"}
		plan, _ := SingleCell().Next(d)
		So(len(plan.Active()), ShouldEqual, 5)
		Convey("a little less demand changes nothing, half of it leads back to one cell, and the numbers stay", func() {
			d.Workers = 500
			_, changed := plan.Next(d)
			So(changed, ShouldBeFalse)
			d.Workers = 360
			fewer, changed := plan.Next(d)
			So(changed, ShouldBeTrue)
			So(fewer.Active(), ShouldResemble, []int{0})
			So(len(fewer.Cells), ShouldEqual, 5)
			So(fewer.Homes("d3"), ShouldResemble, []int{0})
			d.Workers = 1100
			again, _ := fewer.Next(d)
			So(active(again), ShouldResemble, active(plan))
			So(len(again.Cells), ShouldEqual, 5)
		})
		Convey("a failure domain that comes gets a cell, and that of one that goes serves no more", func() {
			d.FailureDomains = append(domains(5), "new")
			more, changed := plan.Next(d)
			So(changed, ShouldBeTrue)
			So(more.Homes("new"), ShouldResemble, []int{5})
			d.FailureDomains = domains(4)
			less, changed := more.Next(d)
			So(changed, ShouldBeTrue)
			So(active(less), ShouldHaveLength, 4)
		})
	})
}

func TestTable(t *testing.T) {
	Convey("Given a plan of three cells", t, func() {
		plan := Plan{Cells: []PlannedCell{{"a", true}, {"b", true}, {"c", true}}}
		table, skipped, err := NewTable().With([]store.Record{record(PlanKey, 0, &plan)}, 1)
		So(err, ShouldBeNil)
		So(skipped, ShouldEqual, 0)
		w := &workercall.Worker{ID: "w", FailureDomain: "b", Rack: "r1"}
		with := func(key string, offset store.Offset, cell int) {
			table, skipped, err = table.With([]store.Record{record(key, offset, &Assignment{Cell: cell})}, offset+1)
		}
		Convey("a worker belongs to cell 0, then to that of its rack, and while it is lent to another", func() {
			var versions []int64
			next := func() int {
				cell, version := table.CellOf(w)
				versions = append(versions, version)
				return cell
			}
			So(next(), ShouldEqual, 0)
			with(RackKey("b", "r1"), 1, 1)
			So(next(), ShouldEqual, 1)
			with(WorkerKey("w"), 2, 2)
			So(next(), ShouldEqual, 2)
			So(table.Borrowed(w), ShouldBeTrue)
			with(RackKey("b", "r1"), 3, 0)
			So(next(), ShouldEqual, 2) // the owner that has the worker has not agreed
			with(WorkerKey("w"), 4, HomeCell)
			So(next(), ShouldEqual, 0)
			So(table.Borrowed(w), ShouldBeFalse)
			Convey("and each owner's fencing tokens are higher than those of the one before, whatever their epochs", func() {
				So(versions, ShouldResemble, []int64{0, 2, 3, 3, 5})
				So(Token(versions[1], 1), ShouldBeGreaterThan, Token(versions[0], 1<<epochBits-1))
				So(Token(versions[1], 2), ShouldBeGreaterThan, Token(versions[1], 1))
				So(Token(0, 7), ShouldEqual, 7) // as earlier builds had it
			})
		})
		Convey("records that name a cell that does not exist, or cannot be read, are left out", func() {
			for _, r := range []store.Record{
				record(RackKey("b", "r1"), 1, &Assignment{Cell: 3}), record(WorkerKey("w"), 1, &Assignment{Cell: -2}),
				record(RackKey("b", "r1"), 1, &Assignment{Cell: HomeCell}), record("x/y", 1, &Assignment{Cell: 1}),
				record(PlanKey, 1, &Plan{}), record(PlanKey, 1, &Plan{Cells: plan.Cells[:2]}), {Key: PlanKey, Value: []byte{0xc1}, Offset: 1},
				{Key: WorkerKey("w"), Value: []byte("x"), Offset: 1},
			} {
				next, skipped, err := table.With([]store.Record{r}, 2)
				So(err, ShouldNotBeNil)
				So(skipped, ShouldEqual, 1)
				So(next.Plan(), ShouldResemble, plan)
				cell, _ := next.CellOf(w)
				So(cell, ShouldEqual, 0)
			}
		})
		Convey("a listing may hold the plan after the assignments, and records that were applied are not applied again", func() {
			listed, skipped, _ := NewTable().With([]store.Record{
				record(RackKey("b", "r1"), 5, &Assignment{Cell: 1}), record(PlanKey, 9, &plan), record(WorkerKey("w"), 7, &Assignment{Cell: 2}),
			}, 10)
			So(skipped, ShouldEqual, 0)
			again, _, _ := listed.With([]store.Record{record(WorkerKey("w"), 6, &Assignment{Cell: 1})}, 10)
			cell, version := again.CellOf(w)
			So([]int64{int64(cell), version}, ShouldResemble, []int64{2, 8})
		})
	})
}

func TestMoves(t *testing.T) {
	plan := Plan{Cells: []PlannedCell{{"a", true}, {"b", true}, {"b", true}}}
	table, _, _ := NewTable().With([]store.Record{record(PlanKey, 0, &plan)}, 1)
	racks := func(domain string, count int) []Rack {
		var list []Rack
		for i := range count {
			list = append(list, Rack{FailureDomain: domain, Label: fmt.Sprintf("%s%d", domain, i)})
		}
		return list
	}
	count := func(moves []Move) map[int]int {
		counts := make(map[int]int)
		for _, m := range moves {
			counts[m.Cell]++
		}
		return counts
	}
	Convey("Cell 0 gives the racks of other failure domains away, equally to their cells, and keeps its own", t, func() {
		So(count(table.Moves(0, append(racks("a", 4), racks("b", 6)...))), ShouldResemble, map[int]int{1: 3, 2: 3})
	})
	Convey("A rack on which something never ends stays", t, func() {
		busy := racks("b", 1)
		busy[0].Busy = true
		So(table.Moves(0, busy), ShouldBeEmpty)
	})
	Convey("A cell gives racks to a new cell of its failure domain until both have equally many", t, func() {
		So(count(table.Moves(1, racks("b", 5))), ShouldResemble, map[int]int{2: 2})
	})
	Convey("With one cell for all again, the others give all racks back", t, func() {
		single := Plan{Cells: []PlannedCell{{"", true}, {"b", false}, {"b", false}}}
		shrunk, _, _ := table.With([]store.Record{record(PlanKey, 1, &single)}, 2)
		So(count(shrunk.Moves(1, racks("b", 5))), ShouldResemble, map[int]int{0: 5})
		So(shrunk.Moves(0, racks("b", 5)), ShouldBeEmpty)
	})
}

// Guards against new jobs for a cell all of whose workers are in an evacuated failure domain, and against a job without a cell.
func TestChooseAvoidsCellWithoutCapacity(t *testing.T) {
	Convey("Given the loads of two cells", t, func() {
		plan := Plan{Cells: []PlannedCell{{FailureDomain: "a", Active: true}, {FailureDomain: "b", Active: true}}}
		encoded, err := recordcodec.Encode(&plan)
		So(err, ShouldBeNil)
		table, _, _ := NewTable().With([]store.Record{{Key: PlanKey, Value: encoded}}, 1)
		random := rand.New(rand.NewPCG(1, 1))
		Convey("a cell without capacity gets no job while the other has room", func() {
			loads := map[int]Load{0: {Cell: 0}, 1: {Cell: 1, CapacityMilliCPU: 8000, UsedMilliCPU: 4000}}
			for range 100 {
				So(table.Choose(Need{MilliCPU: 1000}, "a", loads, random.Float64), ShouldEqual, 1)
			}
		})
		Convey("a job gets a cell if none has capacity", func() {
			loads := map[int]Load{0: {Cell: 0, WaitingMilliCPU: 1000}, 1: {Cell: 1}}
			So(table.Choose(Need{MilliCPU: 1000}, "a", loads, random.Float64), ShouldBeIn, 0, 1)
		})
	})
}

// Jobs that arrive unevenly filled one cell while the others had room.
func TestChoose(t *testing.T) {
	plan := Plan{Cells: []PlannedCell{{"a", true}, {"b", true}, {"c", true}, {"d", false}}}
	table, _, _ := NewTable().With([]store.Record{record(PlanKey, 0, &plan), record(RackKey("c", "r9"), 1, &Assignment{Cell: 2})}, 2)
	loads := func(used ...int64) map[int]Load {
		board := make(map[int]Load)
		for cell, u := range used {
			board[cell] = Load{Cell: cell, CapacityMilliCPU: 1000, UsedMilliCPU: u, Labels: []string{"x"}}
		}
		return board
	}
	const draws = 2000
	choices := func(need Need, board map[int]Load) map[int]int {
		counts := make(map[int]int)
		random := rand.New(rand.NewPCG(1, 2))
		for range draws {
			counts[table.Choose(need, "a", board, random.Float64)]++
		}
		for cell, count := range counts {
			counts[cell] = count * 100 / draws // in percent
		}
		return counts
	}
	Convey("While the cells have room, jobs stay in their failure domain", t, func() {
		So(choices(Need{}, loads(490, 0, 0)), ShouldResemble, map[int]int{0: 100})
	})
	Convey("Without knowledge of the cells they stay as well", t, func() {
		So(choices(Need{}, nil), ShouldResemble, map[int]int{0: 100})
	})
	Convey("When all cells are equally full they stay", t, func() {
		So(choices(Need{}, loads(990, 990, 990)), ShouldResemble, map[int]int{0: 100})
	})
	// A burst in one failure domain waited there for 7 s, since no other cell had room when its load was read.
	Convey("When nothing is free anywhere they go where fewer wait", t, func() {
		counts := choices(Need{}, loads(3000, 1000, 2000))
		So(counts[0], ShouldEqual, 0)
		So(counts[1], ShouldBeBetween, 55, 75)
	})
	// At 98% of one cell and 90% of the others, a task found room five times as often elsewhere.
	Convey("When one is nearly full and the others have a little room, most of its new jobs go there", t, func() {
		counts := choices(Need{}, loads(980, 900, 950))
		So(counts[0], ShouldBeBetween, 20, 60)
		So(counts[1], ShouldBeGreaterThan, counts[2])
	})
	Convey("When one is full, all of them go, to each as many as it has room for", t, func() {
		counts := choices(Need{}, loads(1000, 600, 800))
		So(counts[0], ShouldBeLessThan, 2)
		So(counts[1], ShouldBeBetween, 55, 75)
	})
	Convey("A cell with a little less room than the average keeps most of them", t, func() {
		So(choices(Need{}, loads(780, 700, 700))[0], ShouldBeBetween, 75, 95)
	})
	Convey("A cell whose owner is short of processor time gets none", t, func() {
		board := loads(100, 100, 100)
		full := board[0]
		full.Overloaded = true
		board[0] = full
		So(choices(Need{}, board)[0], ShouldBeLessThan, 2)
	})
	Convey("A best-effort job goes by the capacity that is left unused, whatever other tasks request", t, func() {
		board := loads(100, 990, 990)
		for cell, used := range []int64{900, 300, 500} {
			load := board[cell]
			load.BestEffort = Room{CapacityMilliCPU: 1000, UsedMilliCPU: used}
			board[cell] = load
		}
		counts := choices(Need{BestEffort: true}, board)
		So(counts[0], ShouldBeLessThan, 30)
		So(counts[1], ShouldBeGreaterThan, counts[2])
	})
	Convey("A job goes where its data is, also to another failure domain", t, func() {
		So(choices(Need{DataRack: "r9"}, loads(100, 100, 100)), ShouldResemble, map[int]int{2: 100})
	})
	Convey("A job that requires a label goes to a cell that has it, and waits at home if none has", t, func() {
		board := loads(100, 100, 100)
		special := board[2]
		special.Labels = []string{"gpu"}
		board[2] = special
		So(choices(Need{Labels: []string{"gpu"}}, board), ShouldResemble, map[int]int{2: 100})
		So(choices(Need{Labels: []string{"none"}}, board), ShouldResemble, map[int]int{0: 100})
	})
	// Loads do not name racks, so that such a job waited in a cell without the rack.
	Convey("A job that requires the label of a rack goes to the cell of the rack", t, func() {
		So(choices(Need{Labels: []string{"r9", "x"}}, loads(100, 100, 100)), ShouldResemble, map[int]int{2: 100})
		for range 100 { // a rack without an assignment
			So(table.Choose(Need{Labels: []string{"r1"}}, "b", loads(100, 100, 100), rand.Float64), ShouldEqual, 0)
		}
	})
	Convey("A task without room goes to a cell that has room for it, never back, and nowhere if none has", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 100 {
			cell, found := table.Receiver(Need{MilliCPU: 100}, false, 0, loads(0, 950, 700), random.Float64)
			So([]any{cell, found}, ShouldResemble, []any{2, true})
		}
		_, found := table.Receiver(Need{MilliCPU: 100}, false, 0, loads(0, 950, 950), random.Float64)
		So(found, ShouldBeFalse)
	})
	// A full cell found no receiver for its interrupted services for 12 s, since work waited everywhere for the room of the others.
	Convey("An interrupted task goes to a cell with room although other work waits for it, and nowhere if what runs there leaves none", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		board := loads(1000, 700, 950)
		for cell, load := range board {
			load.WaitingMilliCPU = 5000
			board[cell] = load
		}
		_, found := table.Receiver(Need{MilliCPU: 100}, false, 0, board, random.Float64)
		So(found, ShouldBeFalse)
		for range 100 {
			cell, found := table.Receiver(Need{MilliCPU: 100}, true, 0, board, random.Float64)
			So([]any{cell, found}, ShouldResemble, []any{1, true})
		}
		_, found = table.Receiver(Need{MilliCPU: 400}, true, 0, board, random.Float64)
		So(found, ShouldBeFalse)
	})
	// A hash of the ID gives a cut failure domain only one job in as many as there are cells.
	Convey("Callers of a failure domain that is cut off are served by its own cell, all of them", t, func() {
		So(choices(Need{}, map[int]Load{0: loads(300)[0]}), ShouldResemble, map[int]int{0: 100})
	})
}

// Guards against jobs that nobody runs: a cell that is not active and has no workers got none while all others were busy, or none of
// the rack that its tasks require, since loads do not name racks.
func TestLender(t *testing.T) {
	plan := Plan{Cells: []PlannedCell{{"", true}, {"b", false}, {"c", true}}}
	table, _, _ := NewTable().With([]store.Record{record(PlanKey, 0, &plan), record(RackKey("c", "r9"), 1, &Assignment{Cell: 2})}, 2)
	load := func(cell int, used, waiting int64, labels ...string) Load {
		return Load{Cell: cell, CapacityMilliCPU: 1000, UsedMilliCPU: used, WaitingMilliCPU: waiting, Labels: labels}
	}
	bestEffort := Load{Cell: 1, BestEffort: Room{WaitingMilliCPU: 400}}
	for _, c := range []struct {
		name     string
		borrower int
		label    string
		loads    []Load
		lender   int
		milliCPU int64
	}{
		{"the cell with most to spare lends", 1, "", []Load{load(0, 500, 0), load(1, 0, 9000), load(2, 300, 0)}, 2, 550},
		{"one with the label", 1, "x", []Load{load(0, 500, 0, "x"), load(1, 0, 9000), load(2, 300, 0)}, 0, 350},
		{"the one with the rack", 1, "r9", []Load{load(0, 100, 0), load(1, 0, 9000), load(2, 300, 0)}, 2, 550},
		{"the one with a rack that has no assignment", 1, "r1", []Load{load(0, 500, 0), load(1, 0, 9000), load(2, 300, 0)}, 0, 350},
		{"none to spare: an active cell gets nothing", 2, "", []Load{load(0, 900, 0), load(1, 900, 0), load(2, 1000, 9000)}, 0, 0},
		{"none to spare: one that is not active borrows where least waits", 1, "", []Load{load(0, 900, 500), load(1, 1000, 9000), load(2, 900, 300)}, 2, 1000},
		{"as long as more waits there", 1, "", []Load{load(0, 900, 500), load(1, 1000, 300), load(2, 900, 600)}, 0, 0},
		{"an active cell without capacity borrows, too", 2, "", []Load{load(0, 900, 0), {Cell: 2, WaitingMilliCPU: 100}}, 0, 1000},
		{"also for best-effort tasks", 1, "", []Load{load(0, 900, 0), bestEffort}, 0, 1000},
		{"nothing is known", 1, "", nil, 0, 0},
	} {
		Convey(c.name, t, func() {
			loads := make(map[int]Load)
			for _, l := range c.loads {
				loads[l.Cell] = l
			}
			lender, milliCPU := table.Lender(c.borrower, c.label, loads)
			So([]any{lender, milliCPU}, ShouldResemble, []any{c.lender, c.milliCPU})
		})
	}
}

// Guards against LOST: a long-running task went to a cell without the label that it requires, or to none because others requested
// the processors beside which it would have run, or waited in a cell that is not active and has no workers.
func TestReceiver(t *testing.T) {
	plan := Plan{Cells: []PlannedCell{{"a", true}, {"b", true}, {"c", true}, {"d", false}}}
	table, _, _ := NewTable().With([]store.Record{record(PlanKey, 0, &plan), record(RackKey("b", "r1"), 1, &Assignment{Cell: 1}),
		record(RackKey("d", "r3"), 1, &Assignment{Cell: 3})}, 2)
	load := func(cell int, used, bestEffort int64, labels ...string) Load {
		return Load{Cell: cell, CapacityMilliCPU: 1000, UsedMilliCPU: used, Labels: labels, BestEffort: Room{CapacityMilliCPU: 1000, UsedMilliCPU: bestEffort}}
	}
	free := []Load{load(0, 0, 0, "x", "y"), load(1, 0, 0, "x"), load(2, 0, 0)}
	full := []Load{load(0, 1000, 900), load(1, 1000, 500, "x"), load(2, 1000, 900)}
	const none = -1
	for _, c := range []struct {
		name     string
		need     Need
		from     int
		loads    []Load
		receiver []int
	}{
		{"any with room", Need{MilliCPU: 100}, 0, free, []int{1, 2}},
		{"the one with the label", Need{MilliCPU: 100, Labels: []string{"x"}}, 0, free, []int{1}},
		{"none has it but the cell itself", Need{MilliCPU: 100, Labels: []string{"y"}}, 0, free, []int{none}},
		{"the cell of the rack", Need{MilliCPU: 100, Labels: []string{"r1"}}, 0, free, []int{1}},
		{"the cell of a rack without an assignment", Need{MilliCPU: 100, Labels: []string{"r0"}}, 3, free, []int{0}},
		{"any has workers of the rack of a cell that is not active", Need{MilliCPU: 100, Labels: []string{"r3"}}, 3, free, []int{0, 1, 2}},
		{"none has room", Need{MilliCPU: 100}, 0, full, []int{none}},
		{"best-effort, by what is left unused", Need{MilliCPU: 400, BestEffort: true}, 0, full, []int{1}},
		{"from a cell that is not active to a full one", Need{MilliCPU: 100}, 3, full, []int{0, 1, 2}},
		{"and its label", Need{MilliCPU: 100, Labels: []string{"x"}}, 3, full, []int{1}},
		{"nothing is known", Need{MilliCPU: 100}, 3, nil, []int{none}},
	} {
		Convey(c.name, t, func() {
			loads := make(map[int]Load)
			for _, l := range c.loads {
				loads[l.Cell] = l
			}
			random := rand.New(rand.NewPCG(1, 2))
			seen := make(map[int]bool)
			for range 100 {
				cell, found := table.Receiver(c.need, false, c.from, loads, random.Float64)
				if !found {
					cell = none
				}
				seen[cell] = true
			}
			So(slices.Sorted(maps.Keys(seen)), ShouldResemble, c.receiver)
		})
	}
}
