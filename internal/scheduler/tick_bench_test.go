package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// site is a fleet with running tasks for the cost of plans.
type site struct {
	tasks   *task.Table
	workers *worker.Table
	now     time.Time
	quota   map[string]units.Resources
	random  *rand.Rand
	count   int
	running []*task.Task
}

const siteTeams = 380

// newSite fills workers with tasks in equal parts; a third of them are service instances.
func newSite(workers, tasks int) *site {
	s := &site{
		tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000000, 0),
		quota: make(map[string]units.Resources), random: rand.New(rand.NewPCG(1, 1)),
	}
	for i := range siteTeams {
		s.quota[fmt.Sprintf("t%d", i)] = units.Resources{MilliProcessors: 1 << 40, MemoryMiB: 1 << 40}
	}
	perWorker := int64(tasks/workers + 2)
	for i := range workers {
		w := &worker.Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/8)}
		s.workers.Put(w)
		s.workers.SetCapacity(w, units.Resources{MilliProcessors: 1000 * perWorker, MemoryMiB: 1000 * perWorker})
		s.workers.SetEligible(w, true)
	}
	for i := range tasks {
		row := s.arrive(i%3 == 0)
		s.start(row, s.workers.All()[i%workers])
	}
	return s
}

func (s *site) arrive(service bool) *task.Task {
	s.count++
	spec := task.Spec{Index: s.count, Size: units.Resources{MilliProcessors: 1000, MemoryMiB: 1000}, RunTime: time.Minute}
	if service {
		spec.Service = fmt.Sprintf("s%d", s.count%40)
		spec.ID = fmt.Sprintf("%s/a/%d", spec.Service, s.count)
	} else {
		spec.Job = fmt.Sprintf("j%d", s.random.IntN(300))
		spec.ID = fmt.Sprintf("%s@1/%d", spec.Job, s.count)
		spec.Team = fmt.Sprintf("t%d", s.random.IntN(siteTeams))
		spec.Priority = manifest.Batch
		spec.Deadline = s.now.Add(time.Hour)
	}
	row := &task.Task{Spec: spec, State: task.Waiting, Since: s.now}
	s.tasks.Put(row)
	return row
}

func (s *site) start(row *task.Task, w *worker.Worker) {
	row.Attempt++
	row.Worker = w.ID
	s.workers.Reserve(w, row.RunID(), row.Size)
	row.Set(task.Running, "", s.now)
	if !row.IsService() {
		s.running = append(s.running, row)
	}
}

func (s *site) end() {
	i := s.random.IntN(len(s.running))
	row := s.running[i]
	s.running[i] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	s.workers.Release(s.workers.Get(row.Worker), row.RunID())
	row.Set(task.Finished, "", s.now)
	s.tasks.Remove(row.ID)
}

func (s *site) plan() scheduler.Plan {
	plan := scheduler.Make(scheduler.Input{
		Now: s.now, Tasks: s.tasks, Workers: s.workers, Owned: ownAll, Quota: s.quota,
		Estimates: plain{}, Policy: scheduler.LatencyFirst(), Limits: scheduler.DefaultLimits(),
	})
	for _, b := range plan.Blocked {
		b.Group.Checked = 0
		if b.Settled {
			b.Group.Checked = plan.Generation
		}
	}
	for _, p := range plan.Placements {
		s.start(s.tasks.Get(p.Task), s.workers.Get(p.Worker))
	}
	return plan
}

var siteSizes = []struct{ workers, tasks int }{{48, 1000}, {400, 5000}, {400, 16000}, {1300, 16000}}

// BenchmarkPlan gives the time of one plan: with nothing to do, with one arrival and one end, with twelve of
// each (120 starts a second at ten ticks a second), and with 2000 tasks waiting for room on a full fleet
// after one end.
func BenchmarkPlan(b *testing.B) {
	for _, size := range siteSizes {
		name := fmt.Sprintf("%d-workers-%d-tasks", size.workers, size.tasks)
		b.Run(name+"/idle", func(b *testing.B) {
			s := newSite(size.workers, size.tasks)
			for b.Loop() {
				s.plan()
			}
		})
		for _, changes := range []int{1, 12} {
			b.Run(fmt.Sprintf("%s/changes-%d", name, changes), func(b *testing.B) {
				s := newSite(size.workers, size.tasks)
				for b.Loop() {
					for range changes {
						s.end()
						s.arrive(false)
					}
					if plan := s.plan(); len(plan.Placements) != changes {
						b.Fatalf("%d of %d tasks were placed", len(plan.Placements), changes)
					}
				}
			})
		}
		b.Run(name+"/full", func(b *testing.B) { benchmarkFull(b, size.workers, size.tasks) })
	}
}

func benchmarkFull(b *testing.B, workers, tasks int) {
	s := newSite(workers, tasks)
	for range 3*workers + 2000 {
		s.arrive(false)
	}
	for len(s.plan().Placements) > 0 {
		continue
	}
	for b.Loop() {
		s.end()
		if plan := s.plan(); len(plan.Placements) != 1 {
			b.Fatalf("%d tasks were placed into the room of one", len(plan.Placements))
		}
		s.arrive(false)
	}
}
