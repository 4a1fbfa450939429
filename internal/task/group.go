package task

import (
	"github.com/google/btree"

	"cactuswall.example/cactuswall/internal/failuredomain"
)

// indexDegree is the branching of the ordered indices.
const indexDegree = 16

// GroupKey names a group of waiting tasks.
type GroupKey struct {
	Shard uint32
	Kind  string
}

// Group holds the waiting tasks of one kind in one shard. They are equal for the scheduler, so a group
// that finds no worker is passed over as a whole.
type Group struct {
	Key GroupKey
	// Reason says why the group waits, or is empty before the scheduler has looked at it.
	Reason string
	// Never is set when no worker can ever take the tasks as declared.
	Never bool
	// Checked is the generation of the worker table at which no worker had room for the group, or 0.
	Checked uint64
	rows    *btree.BTreeG[*Task]
}

// Len returns the number of tasks in the group.
func (g *Group) Len() int { return g.rows.Len() }

// First returns the first task of the group, or nil.
func (g *Group) First() *Task {
	row, _ := g.rows.Min()
	return row
}

// Ascend calls yield for the tasks in order until it returns false.
func (g *Group) Ascend(yield func(*Task) bool) { g.rows.Ascend(yield) }

// Groups calls yield for every group of waiting tasks, in no order.
func (t *Table) Groups(yield func(*Group)) {
	for _, g := range t.groups {
		yield(g)
	}
}

// Group returns the group of a waiting task, or nil.
func (t *Table) Group(row *Task) *Group { return t.groups[keyOf(row)] }

func keyOf(row *Task) GroupKey { return GroupKey{Shard: row.Shard, Kind: row.Kind()} }

// join adds a task to its group.
func (t *Table) join(row *Task) {
	key := keyOf(row)
	g := t.groups[key]
	if g == nil {
		g = &Group{Key: key, rows: btree.NewG(indexDegree, lessWaiting)}
		t.groups[key] = g
	}
	g.rows.ReplaceOrInsert(row)
	g.Checked = 0
	t.changes++
}

// leave removes a task from its group and drops an empty group.
func (t *Table) leave(row *Task) {
	key := keyOf(row)
	g := t.groups[key]
	if g == nil {
		return
	}
	g.rows.Delete(row)
	if g.Len() == 0 {
		delete(t.groups, key)
	}
}

// lessWaiting orders the tasks of a group by their index.
func lessWaiting(a, b *Task) bool {
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.ID < b.ID
}

func lessDelayed(a, b *Task) bool {
	if !a.NotBefore.Equal(b.NotBefore) {
		return a.NotBefore.Before(b.NotBefore)
	}
	return a.ID < b.ID
}

// Recheck lets the scheduler look at every worker again for the waiting tasks of a kind.
func (t *Table) Recheck(kind string) {
	for shard := range uint32(failuredomain.Shards) {
		if g := t.groups[GroupKey{Shard: shard, Kind: kind}]; g != nil {
			g.Checked = 0
			t.changes++
		}
	}
}
