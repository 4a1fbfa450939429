package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// newBusyEngine returns an engine that holds every shard and has the given number of running tasks, spread
// over the workers.
func newBusyEngine(b *testing.B, workers, tasks int) *engine {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	s := settings.Default()
	s.Node, s.FailureDomain = "n1", "a"
	s.Scheduling.ClaimLease = units.Duration(time.Hour)
	set := metrics.NewSet()
	e := newEngine(ctx, Options{Settings: s, Log: fake.NewLog(), Logger: zap.NewNop(), Incarnation: 1}, set)
	e.failoverManager = newFailoverManager(e, fake.NewLog(), set)
	now := time.Now()
	m := &manifest.Manifest{FailureDomains: []manifest.FailureDomain{{Name: "a"}}, Teams: []manifest.Team{{Name: "t"}}}
	publication, err := config.NewPublication(m, nil, 0, "p", now)
	if err != nil {
		b.Fatal(err)
	}
	e.config.ApplyPublication(1, publication)
	e.caughtUp = true
	batch := &record.Batch{Node: "n1", Incarnation: 1, Sequence: 1, Records: e.owner.Decide(e.ledger, ownership.Candidates{Live: []string{"n1"}}, now)}
	results := e.ledger.Apply(1, batch, now)
	e.owner.Observe(e.ledger, results, now, true)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		w := &worker.Worker{ID: id, Address: id, Shard: failuredomain.ShardOf(id), Token: 1, ReportedAt: now.Add(time.Hour)}
		e.workerTable.Put(w)
		e.workerTable.SetCapacity(w, units.Resources{MilliProcessors: 64000, MemoryMiB: 250000})
	}
	for i := range tasks {
		w := e.workerTable.All()[i%workers]
		id := fmt.Sprintf("j%d@1/%d", i%300, i)
		row := &task.Task{Spec: task.Spec{ID: id, Job: task.KindOf(id), Team: "t"}, State: task.Running, Attempt: 1, Worker: w.ID}
		e.taskTable.Put(row)
		e.workerTable.Reserve(w, row.RunID(), units.Resources{MilliProcessors: 1000, MemoryMiB: 1000})
	}
	return e
}

// BenchmarkIdleTick measures one tick of the engine while nothing changes.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 1000}, {118, 1450}, {400, 5000}, {1300, 16000}} {
		b.Run(fmt.Sprintf("%d-workers-%d-tasks", size.workers, size.tasks), func(b *testing.B) {
			e := newBusyEngine(b, size.workers, size.tasks)
			for b.Loop() {
				e.tick(time.Now())
			}
		})
	}
}

// BenchmarkReport measures the processing of a report from one worker with 12 runs.
func BenchmarkReport(b *testing.B) {
	e := newBusyEngine(b, 118, 1416)
	w := e.workerTable.All()[0]
	report := platform.Report{Capacity: w.Capacity, Token: 1}
	for _, id := range w.RunIDs() {
		size, _ := w.Reservation(id)
		body := &record.Placement{Task: id.Task, Attempt: 1, Worker: w.ID, From: e.owner.Token(e.ledger.ShardOf(id.Task)), To: e.owner.Token(w.Shard)}
		r := &record.Record{Body: &record.Record_Placement{Placement: body}}
		if got := e.ledger.Apply(platform.Offset(2+len(report.Runs)), &record.Batch{Node: "n1", Incarnation: 1, Sequence: uint64(2 + len(report.Runs)), Records: []*record.Record{r}}, time.Now()); got[0].Rejection != ledger.Accepted {
			b.Fatal(got[0].Rejection)
		}
		report.Runs = append(report.Runs, platform.Run{ID: id, State: platform.RunRunning, Size: size, Usage: size.Times(9).DividedBy(10), Throttle: 1})
	}
	for b.Loop() {
		e.applyReport(w, report, time.Now(), false)
	}
}
