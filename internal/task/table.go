package task

import (
	"sort"
	"time"

	"github.com/google/btree"

	"cactuswall.example/cactuswall/internal/units"
)

// contribution is what a task adds to the usage of its team.
type contribution struct {
	team     string
	size     units.Resources
	accepted bool
}

// Table holds the tasks of one failure domain by ID.
//
// It indexes the tasks of each state other than Waiting by state, and the waiting tasks by group and by the
// end of their delay, so that code that processes one state does not iterate over all tasks.
type Table struct {
	rows    map[string]*Task
	states  map[State]map[string]*Task
	groups  map[GroupKey]*Group
	delayed *btree.BTreeG[*Task]
	// usage holds the sums of the declared sizes of open batch tasks, by team.
	usage map[string]units.Resources
	// accepted is the part of usage whose placements are accepted in the log.
	accepted map[string]units.Resources
	// contributions holds what each task adds to usage, by task ID.
	contributions map[string]contribution
	// services is the number of tasks of each service.
	services    map[string]int
	changeCount uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows:          make(map[string]*Task),
		states:        make(map[State]map[string]*Task),
		groups:        make(map[GroupKey]*Group),
		delayed:       btree.NewG(indexDegree, lessDelayed),
		usage:         make(map[string]units.Resources),
		accepted:      make(map[string]units.Resources),
		contributions: make(map[string]contribution),

		services: make(map[string]int),
	}
}

// Get returns the task with the ID, or nil.
func (t *Table) Get(id string) *Task { return t.rows[id] }

// Len returns the number of tasks.
func (t *Table) Len() int { return len(t.rows) }

// All returns all tasks, sorted by ID. Its cost grows with the size of the table.
func (t *Table) All() []*Task { return sortedByID(t.rows) }

// InState returns the tasks in a state other than Waiting, sorted by ID.
func (t *Table) InState(s State) []*Task { return sortedByID(t.states[s]) }

// Count returns the number of tasks in a state. Withdrawn tasks are not counted as waiting.
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

// TeamUsage returns the sum of the declared sizes of a team's batch tasks whose state is open (see
// State.Open).
func (t *Table) TeamUsage(team string) units.Resources { return t.usage[team] }

// AcceptedUsage returns the part of TeamUsage whose placements are accepted in the log.
func (t *Table) AcceptedUsage(team string) units.Resources { return t.accepted[team] }

// IsService reports whether a kind is the name of a service.
func (t *Table) IsService(kind string) bool { return t.services[kind] > 0 }

// ChangeCount returns a counter that increases at least whenever a task becomes available for placement, a
// group has to be checked again or a team's usage falls. It may increase without such a change.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// Put adds a task, replacing any task with the same ID.
func (t *Table) Put(row *Task) {
	t.Remove(row.ID)
	row.table = t
	t.rows[row.ID] = row
	if row.IsService() {
		t.services[row.Service]++
	}
	t.index(row)
}

// Remove deletes the task with the ID, if there is one.
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

// SetSpec replaces the spec of a task and sets whether it is withdrawn.
func (t *Table) SetSpec(row *Task, spec Spec, withdrawn bool) {
	t.unindex(row)
	row.Spec = spec
	row.Withdrawn = withdrawn
	t.index(row)
}

// SetShard assigns a task to another shard.
func (t *Table) SetShard(row *Task, shard uint32) {
	if row.Shard == shard {
		return
	}
	t.unindex(row)
	row.Shard = shard
	t.index(row)
}

// EndDelays makes the tasks whose delay has ended at now available for placement.
func (t *Table) EndDelays(now time.Time) {
	for {
		row, any := t.delayed.Min()
		if !any || row.NotBefore.After(now) {
			return
		}
		t.delayed.Delete(row)
		t.addToGroup(row)
	}
}

// SetWaiting moves the task to the Waiting state with a reason. It can be placed from notBefore on, or at
// once if notBefore is zero.
func (t *Task) SetWaiting(reason string, notBefore, now time.Time) {
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

// SetState moves the task to a state other than Waiting with a reason. If the state changes,
// now becomes its start (Since).
func (t *Task) SetState(state State, reason string, now time.Time) {
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

// Open reports whether a task in this state holds a reservation or is about to get one.
func (s State) Open() bool {
	return s == Placing || s == Placed || s == Starting || s == Running || s == Stopping
}

// index adds a task to the indexes and to the usage of its team.
func (t *Table) index(row *Task) {
	switch {
	case row.State == Waiting && row.Withdrawn:
	case row.State == Waiting && !row.NotBefore.IsZero():
		t.delayed.ReplaceOrInsert(row)
	case row.State == Waiting:
		t.addToGroup(row)
	default:
		if t.states[row.State] == nil {
			t.states[row.State] = make(map[string]*Task)
		}
		t.states[row.State][row.ID] = row
	}
	if row.State.Open() && !row.IsService() {
		c := contribution{team: row.Team, size: row.Size, accepted: row.State != Placing}
		t.contributions[row.ID] = c
		t.usage[c.team] = t.usage[c.team].Add(c.size)
		if c.accepted {
			t.accepted[c.team] = t.accepted[c.team].Add(c.size)
		}
	}
}

// unindex removes a task from the indexes and from the usage of its team.
func (t *Table) unindex(row *Task) {
	if row.State == Waiting {
		t.delayed.Delete(row)
		t.removeFromGroup(row)
	} else {
		delete(t.states[row.State], row.ID)
	}
	if c, ok := t.contributions[row.ID]; ok {
		delete(t.contributions, row.ID)
		t.usage[c.team] = t.usage[c.team].Sub(c.size)
		if c.accepted {
			t.accepted[c.team] = t.accepted[c.team].Sub(c.size)
		}
		t.changeCount++
	}
}

func sortedByID(rows map[string]*Task) []*Task {
	tasks := make([]*Task, 0, len(rows))
	for _, row := range rows {
		tasks = append(tasks, row)
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].ID < tasks[b].ID })
	return tasks
}
