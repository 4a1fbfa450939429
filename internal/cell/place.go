package cell

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/placement"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/urgency"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// servingUse is the share of its request that a serving task uses, in percent, before anything is measured.
	servingUse = 55
	// maxPlaced bounds the starts of one round, so that a burst does not hold up the storing of ends.
	maxPlaced = 64
	// replan is when placing is tried again after a round that reached maxPlaced, or while tasks wait.
	replan = 100 * time.Millisecond
)

// floor is the room of all workers as placing sees it, and the rows behind it.
type floor struct {
	rows  []*worker
	views []placement.Worker
	// headroom is what filling tasks of an image may use on each worker, as a share of its processor time. It is worked
	// out when an image is first asked for.
	headroom map[string][]float64
	// hopeless are the needs for which no worker was found.
	hopeless map[needKey]placement.Need
}

// needKey is what two tasks have in common for which the same workers suit.
type needKey struct {
	kind    placement.Kind
	service string
	image   string
	label   string
	rack    string
	bounded bool // by a number of tasks on one worker
	spare   bool // may be tried on a worker that has failed others
}

// place finds workers for waiting tasks, most urgent step first.
func (c *Cell) place() {
	groups := c.waitingGroups()
	if len(groups) == 0 {
		return
	}
	f := c.floor()
	placed, left := 0, false
	for _, g := range groups {
		if placed >= maxPlaced {
			left = true
			break
		}
		n, all := c.placeGroup(f, g)
		placed += n
		left = left || !all
	}
	if left {
		c.retryAt(c.now + replan)
	}
}

// waitingGroups returns the ready groups of live jobs with tasks to start, most urgent first.
func (c *Cell) waitingGroups() []*group {
	c.dropEnded()
	var groups []*group
	for _, g := range c.open {
		if g.ready && g.hasIdle() {
			groups = append(groups, g)
		}
	}
	items := make(map[*group]*urgency.Item, len(groups))
	for _, g := range groups {
		items[g] = c.urgency(g)
	}
	sort.SliceStable(groups, func(i, j int) bool { return urgency.Before(items[groups[i]], items[groups[j]]) })
	return groups
}

func (g *group) hasIdle() bool {
	for _, t := range g.tasks {
		if t.idle() {
			return true
		}
	}
	return false
}

// urgency describes a waiting group for the order of waiting.
func (c *Cell) urgency(g *group) *urgency.Item {
	j := g.job
	return &urgency.Item{
		Priority: j.record.Priority, Lasting: g.step.Lasting, Age: c.age(g), Remaining: j.chain[g.id.Step],
		Objective: j.objective, Work: j.work,
	}
}

// age is the time since a job arrived, or since an occurrence was due. It counts what passed under former owners.
func (c *Cell) age(g *group) time.Duration {
	began := time.UnixMilli(g.job.record.ReceivedMS)
	if due := g.job.record.Spec.Due(g.id.Occurrence); due.After(began) {
		began = due
	}
	return max(0, c.wall.Sub(began))
}

// floor makes the view of the workers that may be given work.
func (c *Cell) floor() *floor {
	f := &floor{headroom: make(map[string][]float64), hopeless: make(map[needKey]placement.Need)}
	for _, w := range c.sortedWorkers() {
		if !c.usable(w) {
			continue
		}
		state := c.health.State(w.info.ID, c.wall)
		if state == quarantine.Quarantined {
			continue
		}
		f.rows = append(f.rows, w)
		f.views = append(f.views, placement.Worker{
			ID: w.info.ID, Rack: w.info.Rack, Domain: w.info.Domain, Free: w.info.Capacity.Minus(w.used),
			Spare: w.spare(), Size: w.info.Capacity.MilliCPU, Probing: state == quarantine.Probing,
			FailureRate: c.health.FailureRate(w.info.ID),
		})
	}
	return f
}

// usable tells whether a worker may be given work now.
func (c *Cell) usable(w *worker) bool {
	return w.listed && w.fenced && w.hasTime && !w.dead && !w.info.Draining && w.failing == 0 &&
		c.now >= w.refusing && c.now-w.reported < idleHoldPause+freshReport
}

// spare is the processor time that the worker's runs are expected to leave unused.
func (w *worker) spare() int {
	spare := w.info.Capacity.MilliCPU
	for _, r := range w.runs {
		spare -= r.use()
	}
	return spare
}

// use is the processor time that a run is expected to use.
func (r *run) use() int {
	request := r.task.group.step.Request.MilliCPU
	switch {
	case r.task.group.step.TargetTail > 0:
		return request * servingUse / 100
	case r.task.group.step.Fills && r.pace >= 0:
		return request * r.pace / 100
	}
	return request
}

// placeGroup places a group's waiting tasks. all is false when some found no worker.
func (c *Cell) placeGroup(f *floor, g *group) (placed int, all bool) {
	if g.step.Gang {
		return c.placeGang(f, g)
	}
	all = true
	for _, t := range g.tasks {
		if !t.idle() {
			continue
		}
		if c.now < t.notBefore || placed >= maxPlaced {
			all = false
			continue
		}
		i := c.choose(f, t, nil)
		if i < 0 {
			c.explainWaiting(f, t)
			return placed, false
		}
		c.assign(f, t, i, t.lastRun+1)
		placed++
	}
	return placed, all
}

// placeGang places all tasks of a gang at once, or none.
func (c *Cell) placeGang(f *floor, g *group) (placed int, all bool) {
	number := g.nextRun
	for _, t := range g.tasks {
		if !t.idle() || c.now < t.notBefore {
			return 0, false
		}
		number = max(number, t.lastRun+1)
	}
	var chosen []int
	saved := append([]placement.Worker(nil), f.views...)
	inGroup := make(map[int]int)
	for _, t := range g.tasks {
		i := c.choose(f, t, inGroup)
		if i < 0 {
			c.explainWaiting(f, t)
			copy(f.views, saved)
			return 0, false
		}
		inGroup[i]++
		c.take(f, g, i)
		chosen = append(chosen, i)
	}
	copy(f.views, saved)
	checkpoint := g.checkpoint()
	for k, t := range g.tasks {
		t.checkpoint = checkpoint
		c.assign(f, t, chosen[k], number)
	}
	g.nextRun = number + 1
	return len(g.tasks), true
}

// checkpoint returns the checkpoint that all members of a gang start with.
func (g *group) checkpoint() string {
	for _, t := range g.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// choose returns the worker for a task, or -1. pending counts tasks of the group that are chosen but not assigned.
func (c *Cell) choose(f *floor, t *task, pending map[int]int) int {
	g := t.group
	service := c.serviceOf(g.job)
	need := placement.Need{Kind: kindOfStep(g.step), Room: g.step.Room(), Use: useOf(g.step), Rack: g.step.DataRack, Avoid: t.avoid}
	key := needKey{
		kind: need.Kind, service: service, image: g.step.Image, label: g.step.RequiredLabel, rack: g.step.DataRack,
		bounded: g.step.MaxPerWorker > 0, spare: c.maySpareRun(t),
	}
	if failed, known := f.hopeless[key]; known && failed.Use <= need.Use && need.Room.Holds(failed.Room) {
		return -1
	}
	if g.step.TargetTail > 0 {
		need.Mismatch = func(i int) float64 { return c.mismatch(f.rows[i], g.step.Image) }
	}
	here := c.groupOn(g)
	i := placement.Best(f.views, need, func(i int) bool {
		w := f.rows[i]
		if w.info.Service != service || g.step.RequiredLabel != "" && !hasLabel(w, g.step.RequiredLabel) {
			return false
		}
		if g.step.MaxPerWorker > 0 && here[w]+pending[i] >= g.step.MaxPerWorker {
			return false
		}
		if f.views[i].Probing && (w.probed() || !c.maySpareRun(t)) {
			return false
		}
		return !g.step.Fills || c.mayFill(f, i, g.step)
	})
	if i < 0 && !key.bounded {
		f.hopeless[key] = need
	}
	return i
}

// probed tells whether the worker is being tried by a run already.
func (w *worker) probed() bool {
	for _, r := range w.runs {
		if r.probe {
			return true
		}
	}
	return false
}

// maySpareRun tells whether a task may be tried on a worker that has failed others: it must have more than one attempt
// left.
func (c *Cell) maySpareRun(t *task) bool {
	return !t.group.step.Gang && (t.group.step.Lasting || t.failures+1 < c.maxAttempts(t.group.job))
}

// groupOn counts the group's runs on each worker, if that is bounded.
func (c *Cell) groupOn(g *group) map[*worker]int {
	if g.step.MaxPerWorker == 0 {
		return nil
	}
	here := make(map[*worker]int)
	for _, t := range g.tasks {
		for _, r := range t.runs {
			here[r.worker]++
		}
	}
	return here
}

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

func kindOfStep(s *jobs.Step) placement.Kind {
	switch {
	case s.Fills:
		return placement.Filling
	case s.Lasting:
		return placement.Lasting
	}
	return placement.Ordinary
}

func useOf(s *jobs.Step) int {
	if s.TargetTail > 0 {
		return s.Request.MilliCPU * servingUse / 100
	}
	return s.Request.MilliCPU
}

// serviceOf is the service that the queue's tasks run on now.
func (c *Cell) serviceOf(j *job) string {
	if c.config != nil {
		if q := c.config.Queue(j.record.Queue); q != nil {
			return q.Service
		}
	}
	return j.record.Service
}

// take notes in the view that a task of the group is to run on a worker.
func (c *Cell) take(f *floor, g *group, i int) {
	f.views[i].Free = f.views[i].Free.Minus(g.step.Room())
	f.views[i].Spare -= useOf(g.step)
	if g.step.Fills {
		c.pressOn(f, i, g.step)
	}
}

// assign makes a run of a task on a worker.
func (c *Cell) assign(f *floor, t *task, i, number int) {
	w := f.rows[i]
	c.take(f, t.group, i)
	r := &run{task: t, number: number, worker: w, born: w.info.Born, state: runPlaced, since: c.now, pace: fullPace,
		probe: f.views[i].Probing}
	t.runs = append(t.runs, r)
	t.lastRun = number
	w.runs[workercall.Run{Task: t.id, Number: number}] = r
	w.used = w.used.Plus(t.group.step.Room())
	c.starts = append(c.starts, r)
	c.counts.Waiting.Update((c.now - t.waiting).Seconds())
	c.touch(t.group)
	c.log.Debug("placed", taskField(t.id), zap.Int("run", number), zap.String("worker", w.info.ID))
}
