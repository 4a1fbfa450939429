package task

import (
	"github.com/google/btree"

	"cactuswall.example/cactuswall/internal/failuredomain"
)

// indexDegree is the degree of the B-trees that index the waiting tasks.
const indexDegree = 16

// GroupKey identifies a group of waiting tasks by shard and kind.
type GroupKey struct {
	Shard uint32
	Kind  string
}

// Group holds the waiting tasks of one kind in one shard. Except for tasks for which Task.DiffersFromGroup
// holds, they are interchangeable to the scheduler, so when no worker has room for one of them, the whole group
// is skipped.
type Group struct {
	Key GroupKey
	// Reason says why the group waits. It is empty until the scheduler has tried to place the group.
	Reason string
	// Unschedulable is set if Reason is permanent, so that waiting does not help.
	Unschedulable bool
	// CheckedGeneration is the generation of the worker table at which no worker had room for the group, or 0 if
	// every worker has to be checked.
	CheckedGeneration uint64
	rows              *btree.BTreeG[*Task]
}

// Len returns the number of tasks in the group.
func (g *Group) Len() int { return g.rows.Len() }

// First returns the first task of the group, or nil.
func (g *Group) First() *Task {
	row, _ := g.rows.Min()
	return row
}

// Ascend calls yield for the tasks in order of their index, until yield returns false.
func (g *Group) Ascend(yield func(*Task) bool) { g.rows.Ascend(yield) }

// Groups calls yield for every group of waiting tasks, in no order.
func (t *Table) Groups(yield func(*Group)) {
	for _, g := range t.groups {
		yield(g)
	}
}

// Group returns the group of a waiting task, or nil.
func (t *Table) Group(row *Task) *Group { return t.groups[groupKeyOf(row)] }

func groupKeyOf(row *Task) GroupKey { return GroupKey{Shard: row.Shard, Kind: row.Kind()} }

// addToGroup adds a waiting task to its group and has the group checked against every worker again.
func (t *Table) addToGroup(row *Task) {
	key := groupKeyOf(row)
	g := t.groups[key]
	if g == nil {
		g = &Group{Key: key, rows: btree.NewG(indexDegree, lessWaiting)}
		t.groups[key] = g
	}
	g.rows.ReplaceOrInsert(row)
	g.CheckedGeneration = 0
	t.changeCount++
}

// removeFromGroup removes a task from its group and deletes the group if it is empty.
func (t *Table) removeFromGroup(row *Task) {
	key := groupKeyOf(row)
	g := t.groups[key]
	if g == nil {
		return
	}
	g.rows.Delete(row)
	if g.Len() == 0 {
		delete(t.groups, key)
	}
}

// lessWaiting orders the tasks of a group by index, then by ID.
func lessWaiting(a, b *Task) bool {
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.ID < b.ID
}

// lessDelayed orders delayed tasks by the end of their delay, then by ID.
func lessDelayed(a, b *Task) bool {
	if !a.NotBefore.Equal(b.NotBefore) {
		return a.NotBefore.Before(b.NotBefore)
	}
	return a.ID < b.ID
}

// ResetAllChecked makes the scheduler check every worker again for all waiting tasks.
func (t *Table) ResetAllChecked() {
	for _, g := range t.groups {
		g.CheckedGeneration = 0
	}
	t.changeCount++
}

// ResetChecked makes the scheduler check every worker again for the waiting tasks of a kind, in all shards.
func (t *Table) ResetChecked(kind string) {
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		if g := t.groups[GroupKey{Shard: shard, Kind: kind}]; g != nil {
			g.CheckedGeneration = 0
			t.changeCount++
		}
	}
}
