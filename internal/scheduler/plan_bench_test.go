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

// benchFleet is a set of workers with running tasks, used to measure the cost of plans.
type benchFleet struct {
	tasks   *task.Table
	workers *worker.Table
	now     time.Time
	quota   map[string]units.Resources
	random  *rand.Rand
	count   int
	running []*task.Task
}

const benchTeams = 380

// newBenchFleet distributes tasks evenly over workers. A third of the tasks are service instances.
func newBenchFleet(workers, tasks int) *benchFleet {
	s := &benchFleet{
		tasks: task.NewTable(), workers: worker.NewTable(), now: time.Unix(1000000, 0),
		quota: make(map[string]units.Resources), random: rand.New(rand.NewPCG(1, 1)),
	}
	for i := range benchTeams {
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

func (s *benchFleet) arrive(service bool) *task.Task {
	s.count++
	spec := task.Spec{Index: s.count, Size: units.Resources{MilliProcessors: 1000, MemoryMiB: 1000}, RunTime: time.Minute}
	if service {
		spec.Service = fmt.Sprintf("s%d", s.count%40)
		spec.ID = fmt.Sprintf("%s/a/%d", spec.Service, s.count)
	} else {
		spec.Job = fmt.Sprintf("j%d", s.random.IntN(300))
		spec.ID = fmt.Sprintf("%s@1/%d", spec.Job, s.count)
		spec.Team = fmt.Sprintf("t%d", s.random.IntN(benchTeams))
		spec.Priority = manifest.Batch
		spec.Deadline = s.now.Add(time.Hour)
	}
	row := &task.Task{Spec: spec, State: task.Waiting, Since: s.now}
	s.tasks.Put(row)
	return row
}

func (s *benchFleet) start(row *task.Task, w *worker.Worker) {
	row.Attempt++
	row.Worker = w.ID
	s.workers.Reserve(w, row.RunID(), row.Size)
	row.SetState(task.Running, "", s.now)
	if !row.IsService() {
		s.running = append(s.running, row)
	}
}

func (s *benchFleet) end() {
	i := s.random.IntN(len(s.running))
	row := s.running[i]
	s.running[i] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	s.workers.Release(s.workers.Get(row.Worker), row.RunID())
	row.SetState(task.Finished, "", s.now)
	s.tasks.Remove(row.ID)
}

func (s *benchFleet) plan() scheduler.Plan {
	plan := scheduler.Compute(scheduler.Input{
		Now: s.now, Tasks: s.tasks, Workers: s.workers, Owned: ownsAllShards, Quota: s.quota,
		Estimates: declaredEstimates{}, Policy: scheduler.LatencyFirst(), Limits: scheduler.DefaultLimits(),
	})
	for _, b := range plan.Blocked {
		b.Group.CheckedGeneration = 0
		if b.UntilFreed {
			b.Group.CheckedGeneration = plan.Generation
		}
	}
	for _, p := range plan.Placements {
		s.start(s.tasks.Get(p.Task), s.workers.Get(p.Worker))
	}
	return plan
}

var benchSizes = []struct{ workers, tasks int }{{48, 1000}, {400, 5000}, {400, 16000}, {1300, 16000}}

// BenchmarkPlan measures the time of one plan: with nothing to do; after one task arrived and one ended;
// after twelve of each, which is 120 starts per second at ten plans per second; and after one task ended on a
// full fleet with 2000 tasks waiting for room.
func BenchmarkPlan(b *testing.B) {
	for _, size := range benchSizes {
		name := fmt.Sprintf("%d-workers-%d-tasks", size.workers, size.tasks)
		b.Run(name+"/idle", func(b *testing.B) {
			s := newBenchFleet(size.workers, size.tasks)
			for b.Loop() {
				s.plan()
			}
		})
		for _, changes := range []int{1, 12} {
			b.Run(fmt.Sprintf("%s/changes-%d", name, changes), func(b *testing.B) {
				s := newBenchFleet(size.workers, size.tasks)
				for b.Loop() {
					for range changes {
						s.end()
						s.arrive(false)
					}
					if plan := s.plan(); len(plan.Placements) != changes {
						b.Fatalf("%d tasks were placed, want %d", len(plan.Placements), changes)
					}
				}
			})
		}
		b.Run(name+"/full", func(b *testing.B) { benchmarkFullFleet(b, size.workers, size.tasks) })
	}
}

// newFullFleet returns a fleet without room for the 2000 tasks that wait.
func newFullFleet(workers, tasks int) *benchFleet {
	s := newBenchFleet(workers, tasks)
	for range 3*workers + 2000 {
		s.arrive(false)
	}
	for len(s.plan().Placements) > 0 {
		continue
	}
	return s
}

// BenchmarkRecheck measures a plan on a full fleet that checks every waiting group against every worker.
func BenchmarkRecheck(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("%d-workers", size.workers), func(b *testing.B) {
			s := newFullFleet(size.workers, size.tasks)
			for b.Loop() {
				s.tasks.ResetAllChecked()
				s.plan()
			}
		})
	}
}

func benchmarkFullFleet(b *testing.B, workers, tasks int) {
	s := newFullFleet(workers, tasks)
	for b.Loop() {
		s.end()
		if plan := s.plan(); len(plan.Placements) != 1 {
			b.Fatalf("%d tasks were placed, want 1", len(plan.Placements))
		}
		s.arrive(false)
	}
}
