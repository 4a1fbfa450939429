package task

import (
	"sort"
	"time"

	"github.com/google/btree"

	"cactuswall.example/cactuswall/internal/units"
)

// counted is what a task adds to the usage of its team.
type counted struct {
	team     string
	size     units.Resources
	accepted bool
}

// Table holds the tasks of one failure domain by ID.
//
// It keeps an index for each state but Waiting, and the waiting tasks in groups, so that a system that
// works on one state does not look at the other tasks.
type Table struct {
	rows    map[string]*Task
	states  map[State]map[string]*Task
	groups  map[GroupKey]*Group
	delayed *btree.BTreeG[*Task]
	usage   map[string]units.Resources
	// accepted is the part of usage whose placements are accepted in the log.
	accepted map[string]units.Resources
	counted  map[string]counted
	// services counts the tasks of each service.
	services map[string]int
	changes  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:     make(map[string]*Task),
		states:   make(map[State]map[string]*Task),
		groups:   make(map[GroupKey]*Group),
		delayed:  btree.NewG(indexDegree, lessDelayed),
		usage:    make(map[string]units.Resources),
		accepted: make(map[string]units.Resources),
		counted:  make(map[string]counted),

		services: make(map[string]int),
	}
}

// Get returns the task with the ID, or nil.
func (t *Table) Get(id string) *Task { return t.rows[id] }

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.rows) }

// All returns the tasks in the order of their IDs. It looks at every task.
func (t *Table) All() []*Task { return sorted(t.rows) }

// In returns the tasks in a state other than Waiting, in the order of their IDs.
func (t *Table) In(s State) []*Task { return sorted(t.states[s]) }

// Count returns the number of tasks in a state.
func (t *Table) Count(s State) int {
	if s != Waiting {
		return len(t.states[s])
	}
	count := t.delayed.Len()
	for _, g := range t.groups {
		count += g.Len()
	}
	return count
}

// TeamUsage returns the declared sizes of a team's batch tasks with an open or proposed attempt.
func (t *Table) TeamUsage(team string) units.Resources { return t.usage[team] }

// AcceptedUsage is the part of TeamUsage whose placements are accepted in the log.
func (t *Table) AcceptedUsage(team string) units.Resources { return t.accepted[team] }

// IsService reports whether a kind is the name of a service.
func (t *Table) IsService(kind string) bool { return t.services[kind] > 0 }

// Changes grows whenever a task begins to wait or gives a part of its team's quota back.
func (t *Table) Changes() uint64 { return t.changes }

// Put adds a task or replaces the row with its ID.
func (t *Table) Put(row *Task) {
	t.Remove(row.ID)
	row.table = t
	t.rows[row.ID] = row
	if row.IsService() {
		t.services[row.Service]++
	}
	t.index(row)
}

// Remove drops the task with the ID.
func (t *Table) Remove(id string) {
	row := t.rows[id]
	if row == nil {
		return
	}
	t.unindex(row)
	delete(t.rows, id)
	if row.IsService() {
		t.services[row.Service]--
	}
	row.table = nil
}

// Respecify replaces the spec of a task.
func (t *Table) Respecify(row *Task, spec Spec, withdrawn bool) {
	t.unindex(row)
	row.Spec = spec
	row.Withdrawn = withdrawn
	t.index(row)
}

// Move puts a task into another shard.
func (t *Table) Move(row *Task, shard uint32) {
	if row.Shard == shard {
		return
	}
	t.unindex(row)
	row.Shard = shard
	t.index(row)
}

// Wake lets the tasks wait for a worker again whose delay is over at now.
func (t *Table) Wake(now time.Time) {
	for {
		row, any := t.delayed.Min()
		if !any || row.NotBefore.After(now) {
			return
		}
		t.delayed.Delete(row)
		t.join(row)
	}
}

// Wait makes the task wait, for a worker from notBefore on. A zero notBefore means at once.
func (t *Task) Wait(reason string, notBefore, now time.Time) {
	if t.table != nil {
		t.table.unindex(t)
	}
	if t.State != Waiting {
		t.Since = now
	}
	t.State = Waiting
	t.Reason = reason
	t.NotBefore = notBefore
	t.Reserved = units.Resources{}
	if t.table != nil {
		t.table.index(t)
	}
}

// Set moves the task to a state other than Waiting at a time with a reason.
func (t *Task) Set(state State, reason string, now time.Time) {
	t.Reason = reason
	if t.State == state {
		return
	}
	if t.table != nil {
		t.table.unindex(t)
	}
	t.State = state
	t.Since = now
	if t.table != nil {
		t.table.index(t)
	}
}

// Open reports whether the task holds or is about to hold a reservation.
func (s State) Open() bool {
	return s == Placing || s == Placed || s == Starting || s == Running || s == Stopping
}

func (t *Table) index(row *Task) {
	switch {
	case row.State == Waiting && row.Withdrawn:
	case row.State == Waiting && !row.NotBefore.IsZero():
		t.delayed.ReplaceOrInsert(row)
	case row.State == Waiting:
		t.join(row)
	default:
		if t.states[row.State] == nil {
			t.states[row.State] = make(map[string]*Task)
		}
		t.states[row.State][row.ID] = row
	}
	if row.State.Open() && !row.IsService() {
		c := counted{team: row.Team, size: row.Size, accepted: row.State != Placing}
		t.counted[row.ID] = c
		t.usage[c.team] = t.usage[c.team].Add(c.size)
		if c.accepted {
			t.accepted[c.team] = t.accepted[c.team].Add(c.size)
		}
	}
}

func (t *Table) unindex(row *Task) {
	if row.State == Waiting {
		t.delayed.Delete(row)
		t.leave(row)
	} else {
		delete(t.states[row.State], row.ID)
	}
	if c, known := t.counted[row.ID]; known {
		delete(t.counted, row.ID)
		t.usage[c.team] = t.usage[c.team].Sub(c.size)
		if c.accepted {
			t.accepted[c.team] = t.accepted[c.team].Sub(c.size)
		}
		t.changes++
	}
}

func sorted(rows map[string]*Task) []*Task {
	tasks := make([]*Task, 0, len(rows))
	for _, row := range rows {
		tasks = append(tasks, row)
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].ID < tasks[b].ID })
	return tasks
}
