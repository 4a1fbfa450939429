package cell

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
)

// BenchmarkProgressOfStart measures what the progress of one started task of a step costs to encode and to store: with the whole step in one
// record, as earlier builds stored it, and in parts.
func BenchmarkProgressOfStart(b *testing.B) {
	for _, tasks := range []int{100, 1000, 10_000} {
		c := New(Settings{}, 1, 0, zap.NewNop(), NewMetrics(metrics.NewSet()))
		spec := manyTasks(tasks, false)
		j := &job{id: "j", record: jobrecord.Job{Spec: spec}, groups: make(map[jobs.GroupID]*group), criticalPath: make([]time.Duration, 1)}
		g := c.ensureGroup(j, jobs.GroupID{Job: "j"})
		for _, t := range g.tasks {
			t.lastRunNumber = 1
		}
		for _, mode := range []struct {
			name   string
			encode func(r *Round)
		}{
			{"one record", func(r *Round) { r.addTasks(c, g, 0, tasks) }},
			{"parts", func(r *Round) {
				c.markTaskDirty(g.tasks[tasks/2])
				r.addGroup(c, g)
			}},
		} {
			b.Run(fmt.Sprintf("%d tasks/%s", tasks, mode.name), func(b *testing.B) {
				size := 0
				for b.Loop() {
					r := &Round{}
					mode.encode(r)
					for i := range r.Records {
						size += r.Records[i].Size()
					}
				}
				b.ReportMetric(float64(size)/float64(b.N), "bytes/start")
			})
		}
	}
}
