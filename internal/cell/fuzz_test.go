package cell

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// FuzzStoredRecords loads records as anybody could have written them into an owner, which then schedules. Only a panic, or a task of a live job without a next step, is a fault.
func FuzzStoredRecords(f *testing.F) {
	encode := func(value any) []byte {
		content, err := recordcodec.Encode(value)
		if err != nil {
			f.Fatal(err)
		}
		return content
	}
	spec := testSpec(2, 1)
	spec.Steps[0].Gang = true
	job := encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2, Spec: spec})
	group := encode(&jobrecord.Group{NextRun: 2, Tasks: []jobrecord.Task{{LastRun: 1, Runs: []jobrecord.Run{{Number: 1, Worker: "w0"}}}, {Done: true}}})
	outcome := encode(&jobrecord.Outcome{State: jobs.Failed, AtMS: 1})
	spec.OccurrenceCount, spec.Interval = 1000, time.Second // bounded
	scheduled := encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 3, CriticalPathFactor: 2, Spec: spec})
	closed := encode(&jobrecord.Occurrences{Ended: []jobrecord.OccurrenceRange{{From: 0, To: 1}, {From: 3, To: 990}}})
	f.Add(job, group, outcome, 0, 0)
	f.Add(scheduled, group, closed, 0, 1)
	f.Add(job, group, []byte(nil), 1, 7)
	f.Add([]byte{0x91}, []byte{0xff}, []byte("x"), -1, -1)
	f.Fuzz(func(t *testing.T, job, group, outcome []byte, step, index int) {
		const id = jobs.ID("0000000000000001")
		sim := newSimulation(1, 2)
		c := New(Settings{MaxLease: maxLease, StatusRetention: time.Minute}, 1, 0, zap.NewNop(), NewMetrics(metrics.NewSet()))
		c.SetCell(0, 2)
		c.SetTime(sim.now, sim.wall())
		c.SetConfig(sim.config)
		c.SetWorkers(sim.currentWorkers())
		c.SetTasks(map[string]cellmap.TaskAssignment{jobs.TaskID{Job: id, Step: step, Index: index}.Key(): {Cell: step & 1, LastRun: index}})
		progress := []store.Record{
			{Key: jobrecord.GroupKey(jobs.GroupID{Job: id, Step: step}), Value: group}, {Key: jobrecord.GroupKey(jobs.GroupID{Job: id}), Value: group},
			{Key: jobrecord.GroupPartKey(jobs.GroupID{Job: id, Occurrence: 2, Step: step}, max(0, index)), Value: group, Offset: 1},
			{Key: jobrecord.OutcomeKey(id), Value: outcome}, {Key: jobrecord.OccurrencesKey(id), Value: outcome},
		}
		c.Load([]store.Record{{Key: jobrecord.JobKey(id, "n", 0), Value: job}}, progress)
		for range 5 {
			sim.now += 100 * time.Millisecond
			c.SetTime(sim.now, sim.wall())
			c.Tick()
			c.TakeOrders(true)
			c.RoundStored(c.Plan())
			c.TakeStrandedTasks()
		}
		for _, missed := range c.tasksWithoutNextStep() {
			t.Errorf("task %v has no next step", missed.id)
		}
	})
}
