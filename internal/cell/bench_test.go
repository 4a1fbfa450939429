package cell

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	benchWorkers  = 350
	benchServices = 200 // service tasks that run all the time
	benchImages   = 20
	// benchFlush is the virtual time between two flushes.
	benchFlush = 4 * time.Millisecond
)

// benchLoad is the load of a benchmark: jobs of two dependent steps with six tasks each or, if tasks are kept waiting, of
// one step. A quarter of the jobs is best-effort.
type benchLoad struct {
	startsPerSecond float64       // rate at which tasks are submitted
	waiting         int           // tasks that wait in addition; each task that ends is replaced
	runTime         time.Duration // mean of a task; 0 for endless
	rackFactor      float64       // Settings.RemoteRackFactor
	rackShare       int           // of so many jobs, one names a rack; 0: none
}

// benchWorld drives a cell as its owner does, with workers that answer each order at the next flush and a store that
// stores each round by the next flush. It measures the time in the cell only.
type benchWorld struct {
	b         testing.TB
	cell      *Cell
	load      benchLoad
	now       time.Duration
	workers   map[string]*benchWorker
	next      []func() // calls of the cell at the next flush
	storing   bool
	submitted int     // jobs
	credit    float64 // tasks to submit
	starts    int
	spent     time.Duration
}

type benchWorker struct {
	id      string
	running map[workercall.Run]time.Duration // end times
	ended   []workercall.EndedRun
	count   int64
	renewal *RenewOrder // waits for an end of a run
}

func newBenchWorld(b testing.TB, load benchLoad) *benchWorld {
	config := &queue.Config{Version: 1, Queues: []queue.Queue{{Name: "q", Service: "s"}},
		Services: []queue.Service{{Name: "s", EnforcesCapacity: true}}}
	queue.NewActiveConfig().Update(config)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel))
	world := &benchWorld{b: b, load: load, now: time.Hour, workers: make(map[string]*benchWorker)}
	world.cell = New(Settings{MaxLease: maxLease, StatusRetention: 10 * time.Second, MaxOverTarget: 4 * time.Second, RemoteRackFactor: load.rackFactor}, 1, 0, log, NewMetrics(metrics.NewSet()))
	world.setTime()
	world.cell.SetConfig(config)
	var list []workercall.Worker
	for i := range benchWorkers {
		id := fmt.Sprintf("w%03d", i)
		world.workers[id] = &benchWorker{id: id, running: make(map[workercall.Run]time.Duration)}
		list = append(list, workercall.Worker{ID: id, Service: "s", Address: id, FailureDomain: "d", Rack: fmt.Sprint("r", i%10),
			StartedAtMS: 1, Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 62500}})
	}
	world.cell.SetWorkers(list)
	world.cell.Load(nil, nil)
	for i := range 5 {
		world.submit(jobs.Spec{Steps: []jobs.Step{{Count: benchServices / 5, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 500},
			LongRunning: true, Image: fmt.Sprint("service", i), TargetTailLatency: 20 * time.Millisecond}}})
	}
	return world
}

func (world *benchWorld) setTime() {
	world.cell.SetTime(world.now, time.UnixMilli(startUnixMS).Add(world.now))
}

// timed calls a function that only calls the cell, and adds the time that it takes to spent.
func (world *benchWorld) timed(call func()) {
	start := time.Now()
	call()
	world.spent += time.Since(start)
}

func (world *benchWorld) submit(spec jobs.Spec) {
	world.submitted++
	value, err := recordcodec.Encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2,
		ReceivedMS: startUnixMS + world.now.Milliseconds(), Spec: spec})
	if err != nil {
		world.b.Fatal(err)
	}
	key := jobrecord.JobKey(jobs.ID(fmt.Sprintf("%016x", world.submitted)), "n", 0)
	world.timed(func() { world.cell.ApplyJobRecord(store.Record{Key: key, Value: value}) })
}

// submitTasks submits a job and returns its number of tasks.
func (world *benchWorld) submitTasks() int {
	step := jobs.Step{Count: 6, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 500}, Estimate: 3 * time.Second,
		Image: fmt.Sprint("image", world.submitted%benchImages)}
	step.BestEffort = world.submitted%4 == 0
	if share := world.load.rackShare; share > 0 && world.submitted%share == 0 {
		step.DataRack = fmt.Sprint("r", world.submitted/share%3) // three of ten racks are in demand
	}
	steps := []jobs.Step{step}
	if world.load.waiting == 0 {
		step.DependsOn = []int{0}
		steps = append(steps, step)
	}
	world.submit(jobs.Spec{Steps: steps})
	return len(steps) * step.Count
}

// flush advances the time by benchFlush and runs one iteration of the owner's loop.
func (world *benchWorld) flush() {
	world.now += benchFlush
	world.setTime()
	next := world.next
	world.next = nil
	for _, call := range next {
		call()
	}
	world.credit += world.load.startsPerSecond * benchFlush.Seconds()
	for world.credit > 0 {
		world.credit -= float64(world.submitTasks())
	}
	for _, w := range world.workers {
		world.tick(w)
	}
	var orders Orders
	round := &Round{}
	world.timed(func() {
		world.cell.Tick()
		orders = world.cell.TakeOrders(true)
		if !world.storing {
			round = world.cell.Plan()
		}
		world.cell.NextDue()
	})
	for i := range orders.Renewals {
		world.workers[orders.Renewals[i].To.ID].renewal = &orders.Renewals[i]
	}
	world.send(orders.Starts)
	if !round.Empty() {
		world.storing = true
		world.next = append(world.next, func() {
			var starts []StartOrder
			world.timed(func() { starts = world.cell.RoundStored(round) })
			world.storing = false
			world.send(starts)
		})
	}
	if world.now%time.Second < benchFlush {
		world.timed(func() { world.cell.ExpiredDeleted(world.cell.ExpireJobs()) })
	}
}

func (world *benchWorld) send(starts []StartOrder) {
	world.starts += len(starts)
	for _, order := range starts {
		w := world.workers[order.To.ID]
		endsAt := 1000 * time.Hour
		if spec := world.cell.jobs[order.Start.Task.Job].record.Spec; world.load.runTime > 0 && !spec.Steps[0].LongRunning {
			endsAt = world.now + world.load.runTime*time.Duration(1+world.starts%100)/50
		}
		w.running[order.Start.Run] = endsAt
		world.next = append(world.next, func() {
			world.timed(func() { world.cell.StartAnswered(order, workercall.Reply{Clock: world.now, StartedAtMS: 1}, nil) })
		})
	}
}

// tick ends runs of a worker and answers a renewal order that has waited long enough.
func (world *benchWorld) tick(w *benchWorker) {
	for run, endsAt := range w.running {
		if world.now >= endsAt {
			delete(w.running, run)
			w.count++
			w.ended = append(w.ended, workercall.EndedRun{Sequence: w.count, Run: run, Reason: workercall.Done})
			world.replaceWaiting()
		}
	}
	if w.renewal == nil || len(w.ended) == 0 && world.now < w.renewal.CreatedAt+w.renewal.Request.Wait {
		return
	}
	report := workercall.Report{Clock: world.now, StartedAtMS: 1}
	for len(w.ended) > 0 && w.ended[0].Sequence <= w.renewal.Request.Acknowledged {
		w.ended = w.ended[1:]
	}
	report.Ended = append(report.Ended, w.ended...)
	for run := range w.running {
		report.Running = append(report.Running, workercall.RunStatus{Run: run, Percent: 100, TailLatency: 10 * time.Millisecond, MilliCPU: 1500})
	}
	order := w.renewal
	w.renewal = nil
	world.timed(func() { world.cell.RenewAnswered(w.id, report, order.CreatedAt) })
}

// replaceWaiting submits tasks for one that has ended, if tasks are kept waiting.
func (world *benchWorld) replaceWaiting() {
	if world.load.waiting > 0 {
		world.credit++
	}
}

func benchmarkFlush(b *testing.B, load benchLoad) {
	world := newBenchWorld(b, load)
	for range 500 {
		world.flush()
	}
	if load.waiting > 0 { // fill the workers, then the backlog
		for range benchWorkers * 8 / 6 {
			world.submitTasks()
		}
		for range 500 {
			world.flush()
		}
		for world.waitingTasks() < load.waiting {
			world.submitTasks()
			world.flush()
		}
	}
	for range 1000 {
		world.flush()
	}
	world.spent, world.starts = 0, 0
	b.ResetTimer()
	for range b.N {
		world.flush()
	}
	b.ReportMetric(float64(world.spent.Nanoseconds())/float64(b.N), "ns/flush")
	b.ReportMetric(float64(world.starts)/(float64(b.N)*benchFlush.Seconds()), "starts/s")
	b.ReportMetric(float64(world.waitingTasks()), "waiting")
	if world.starts > 0 {
		b.ReportMetric(float64(world.spent.Nanoseconds())/float64(world.starts), "ns/start")
	}
}

// waitingTasks returns the number of tasks that could start if workers had room.
func (world *benchWorld) waitingTasks() int {
	count := 0
	for _, j := range world.cell.jobs {
		for _, g := range j.groups {
			for _, t := range g.tasks {
				if g.ready && j.live() && t.needsRun() {
					count++
				}
			}
		}
	}
	return count
}

func BenchmarkFlushSteady120(b *testing.B) {
	benchmarkFlush(b, benchLoad{startsPerSecond: 120, runTime: 3 * time.Second})
}

func BenchmarkFlushSteady750(b *testing.B) {
	benchmarkFlush(b, benchLoad{startsPerSecond: 750, runTime: 3 * time.Second})
}

func BenchmarkFlushBacklog(b *testing.B) {
	benchmarkFlush(b, benchLoad{waiting: 1700, runTime: 20 * time.Second})
}

func BenchmarkFlushFull(b *testing.B) {
	benchmarkFlush(b, benchLoad{waiting: 1700})
}

// BenchmarkFlushRacks measures jobs that name one of three racks in high demand, some of whose tasks wait for them.
func BenchmarkFlushRacks(b *testing.B) {
	benchmarkFlush(b, benchLoad{startsPerSecond: 400, runTime: 3 * time.Second, rackFactor: 3, rackShare: 1})
}

// BenchmarkFlushRacksBacklog is BenchmarkFlushBacklog with a factor for racks, which a third of the jobs name.
func BenchmarkFlushRacksBacklog(b *testing.B) {
	benchmarkFlush(b, benchLoad{waiting: 1700, runTime: 20 * time.Second, rackFactor: 3, rackShare: 3})
}

// BenchmarkExpireJobs measures a search for expired jobs among many ended ones of which none has expired.
func BenchmarkExpireJobs(b *testing.B) {
	const ended = 50_000
	world := newBenchWorld(b, benchLoad{})
	world.cell.settings.StatusRetention = time.Hour
	spec := jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 500}}}}
	for range ended {
		world.submit(spec)
	}
	for _, j := range world.cell.jobs {
		world.cell.endJob(j, jobs.Completed)
	}
	world.cell.RoundStored(world.cell.Plan())
	b.ResetTimer()
	for range b.N {
		if len(world.cell.ExpireJobs().Records) > 0 {
			b.Fatal("a job has expired")
		}
	}
}

// BenchmarkAudit measures one complete audit of a cell with running and waiting tasks, in parts as they follow each other
// while the owner is busy.
func BenchmarkAudit(b *testing.B) {
	world := newBenchWorld(b, benchLoad{waiting: 17_000})
	for world.waitingTasks() < world.load.waiting {
		world.submitTasks()
		world.flush()
	}
	c, tasks := world.cell, 0
	for _, j := range c.jobs {
		for _, g := range j.groups {
			tasks += len(g.tasks)
		}
	}
	longest := time.Duration(0)
	b.ResetTimer()
	for range b.N {
		for end := c.now + auditPeriod; c.now < end; {
			c.now += auditInterval
			start := time.Now()
			c.audit()
			longest = max(longest, time.Since(start))
		}
	}
	b.ReportMetric(float64(tasks), "tasks")
	b.ReportMetric(float64(longest.Nanoseconds()), "ns/longest_part")
	if c.auditor.found > 0 {
		b.Errorf("%d differences: %v", c.auditor.found, corrections(c))
	}
}
