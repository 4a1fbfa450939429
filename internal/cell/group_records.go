package cell

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// groupPart is a part of a group, by its number: the tasks whose progress is stored together, see jobrecord.PartTasks.
type groupPart struct {
	group  *group
	number int
}

// maxCheckpointBytes is the size of the longest checkpoint that is stored.
const maxCheckpointBytes = 64 << 10

// maxCheckpointBytes returns the size of the longest checkpoint that is kept of a task: the record of a single task must hold it, which
// also names the workers of its runs.
func (c *Cell) maxCheckpointBytes() int {
	if c.settings.MaxRecordBytes == 0 {
		return maxCheckpointBytes
	}
	return min(maxCheckpointBytes, c.settings.MaxRecordBytes/2)
}

// partCount returns the number of parts of a group of so many tasks.
func partCount(tasks int) int { return (tasks + jobrecord.PartTasks - 1) / jobrecord.PartTasks }

// markTaskDirty has the progress of a task stored with the next round.
func (c *Cell) markTaskDirty(t *task) {
	c.markPartDirty(groupPart{t.group, t.id.Index / jobrecord.PartTasks})
}

// markGroupDirty has the progress of all tasks of a group stored with the next round.
func (c *Cell) markGroupDirty(g *group) {
	for number := range g.dirtyParts {
		c.markPartDirty(groupPart{g, number})
	}
}

func (c *Cell) markPartDirty(p groupPart) {
	g := p.group
	g.dirtyParts[p.number] = true
	if !g.dirty {
		g.dirty = true
		c.dirtyGroups = append(c.dirtyGroups, g)
	}
}

// addGroup adds the progress of the dirty parts of a group to a round.
func (r *Round) addGroup(c *Cell, g *group) {
	g.dirty = false
	if g.closed {
		return
	}
	for number := len(g.dirtyParts) - 1; number >= 0; number-- {
		if !g.dirtyParts[number] {
			continue
		}
		g.dirtyParts[number] = false
		r.parts = append(r.parts, groupPart{g, number})
		first := number * jobrecord.PartTasks
		r.addTasks(c, g, first, min(first+jobrecord.PartTasks, len(g.tasks)))
	}
}

// addTasks adds the progress of the group's tasks with the indexes from first to before end to a round: in one record, or in several
// if that would be too large for the store. Those with higher indexes come first. If only these are stored, because the round takes
// several appends, then the record that held all of the tasks before still holds the others.
func (r *Round) addTasks(c *Cell, g *group, first, end int) {
	key := g.recordKey(first)
	value, err := recordcodec.Encode(groupRecord(g, first, end))
	if err != nil {
		c.log.Error("failed to encode record", zap.String("key", key), zap.Error(err))
		return
	}
	record := store.Record{Key: key, Value: value}
	if end-first > 1 && c.settings.MaxRecordBytes > 0 && record.Size() > c.settings.MaxRecordBytes {
		middle := (first + end) / 2
		r.addTasks(c, g, middle, end)
		r.addTasks(c, g, first, middle)
		return
	}
	g.noteKey(key)
	r.Records = append(r.Records, record)
}

// recordKey returns the key of the progress of the group's tasks from an index on.
func (g *group) recordKey(first int) string {
	if first == 0 && len(g.dirtyParts) == 1 {
		return jobrecord.GroupKey(g.id)
	}
	return jobrecord.GroupPartKey(g.id, first)
}

// noteKey notes that progress of the group is stored under a key.
func (g *group) noteKey(key string) {
	if first := jobrecord.FirstTask(key); first%jobrecord.PartTasks == 0 && key == g.recordKey(first) {
		return // one of those that progressKeys derives
	}
	if !slices.Contains(g.extraKeys, key) {
		g.extraKeys = append(g.extraKeys, key)
	}
}

// progressKeys returns the keys under which progress of the group may be stored.
func (g *group) progressKeys() []string {
	keys := slices.Clone(g.extraKeys)
	for number := range g.dirtyParts {
		keys = append(keys, g.recordKey(number*jobrecord.PartTasks))
	}
	return keys
}

// groupRecord returns the stored form of the progress of the group's tasks with the indexes from first to before end.
func groupRecord(g *group, first, end int) *jobrecord.Group {
	record := &jobrecord.Group{NextRun: g.nextGangRun, Tasks: make([]jobrecord.Task, end-first)}
	for i, t := range g.tasks[first:end] {
		stored := jobrecord.Task{Done: t.done, Failures: t.failures, LastRun: t.lastRunNumber, Checkpoint: t.checkpoint}
		for _, r := range t.runs {
			stored.Runs = append(stored.Runs, jobrecord.Run{Number: r.number, Worker: r.worker.info.ID, WorkerStartedAtMS: r.incarnation})
		}
		record.Tasks[i] = stored
	}
	return record
}

// storedGroups are the stored records of groups, in the order in which the groups were first seen.
type storedGroups struct {
	ids     []jobs.GroupID
	records map[jobs.GroupID][]storedPart
}

// storedPart is a record of a group.
type storedPart struct {
	key    string
	offset store.Offset
	record jobrecord.Group
}

// add decodes the record of a group.
func (s *storedGroups) add(id jobs.GroupID, r store.Record) error {
	part := storedPart{key: r.Key, offset: r.Offset}
	if err := recordcodec.Decode(r.Value, &part.record); err != nil {
		return err
	}
	if s.records == nil {
		s.records = make(map[jobs.GroupID][]storedPart)
	}
	if s.records[id] == nil {
		s.ids = append(s.ids, id)
	}
	s.records[id] = append(s.records[id], part)
	return nil
}

// merge returns the progress of a group of so many tasks. It leaves out records that do not fit the group, and returns their keys.
func (s *storedGroups) merge(id jobs.GroupID, tasks int) (merged jobrecord.Group, unfit []storedPart) {
	parts := s.records[id]
	slices.SortStableFunc(parts, func(a, b storedPart) int { return cmp.Compare(a.offset, b.offset) })
	merged.Tasks = make([]jobrecord.Task, tasks)
	for _, part := range parts {
		first := jobrecord.FirstTask(part.key)
		if len(part.record.Tasks) == 0 || len(part.record.Tasks) > tasks || first > tasks-len(part.record.Tasks) {
			unfit = append(unfit, part)
			continue
		}
		copy(merged.Tasks[first:], part.record.Tasks)
		merged.NextRun = max(merged.NextRun, part.record.NextRun)
	}
	return merged, unfit
}
