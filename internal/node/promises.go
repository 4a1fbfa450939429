package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/promise"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
)

const (
	// promiseCheckPeriod is the time between two checks of the tables against the promises.
	promiseCheckPeriod = time.Second
	// manifestBound is how long after its publication a manifest is to be in force.
	manifestBound = 4 * time.Second
)

// promiseWatch compares the tables with the promises. The engine's goroutine uses it.
type promiseWatch struct {
	recorder  *promise.Recorder
	logger    *zap.Logger
	checkedAt time.Time
	// following is set once the manifest stream has been read to its end.
	following bool
	// late holds the tasks whose missed deadline has been counted.
	late map[string]bool
}

func newPromiseWatch(set *metrics.Set, logger *zap.Logger) *promiseWatch {
	return &promiseWatch{recorder: promise.NewRecorder(set), logger: logger, late: make(map[string]bool)}
}

// broken counts a breach and logs it.
func (p *promiseWatch) broken(name promise.Name, now time.Time, fields ...zap.Field) {
	p.recorder.Broken(name, now)
	p.logger.Error("promise broken", append(fields, zap.String("promise", string(name)))...)
}

// check looks for deadlines that have passed.
func (p *promiseWatch) check(tasks []*task.Task, now time.Time) {
	if now.Sub(p.checkedAt) < promiseCheckPeriod {
		return
	}
	p.checkedAt = now
	late := make(map[string]bool, len(p.late))
	for _, row := range tasks {
		if !missedDeadline(row, now) {
			continue
		}
		late[row.ID] = true
		if !p.late[row.ID] {
			p.broken(promise.Deadlines, now, zap.String("task", row.ID))
		}
	}
	p.late = late
}

// missedDeadline reports whether a batch task can no longer end in time.
func missedDeadline(row *task.Task, now time.Time) bool {
	if row.Deadline.IsZero() || row.Withdrawn || row.State == task.Finished || row.State == task.Cancelled {
		return false
	}
	return row.State == task.Failed || now.After(row.Deadline)
}

// checkReport compares what a worker runs with what it has.
func (p *promiseWatch) checkReport(id string, report platform.Report, now time.Time) {
	var sum units.Resources
	for i := range report.Runs {
		if !report.Runs[i].State.Final() {
			sum = sum.Add(report.Runs[i].Size)
		}
	}
	if !sum.Fits(report.Capacity) {
		p.broken(promise.Capacity, now, zap.String("worker", id), zap.Stringer("committed", sum), zap.Stringer("capacity", report.Capacity))
	}
}

// checkStray looks whether a run that is not the open attempt of its task goes on beside that attempt.
func (p *promiseWatch) checkStray(worker string, id platform.RunID, row *task.Task, now time.Time) {
	if row != nil && row.State == task.Running && row.RunID() != id {
		p.broken(promise.OnePlace, now, zap.String("task", id.Task), zap.String("worker", worker), zap.Uint32("attempt", id.Attempt))
	}
}

// checkManifest compares the time of a publication with the time at which it came in force here. A node
// that is still reading what was published before its start is passed over.
func (p *promiseWatch) checkManifest(inForce *config.InForce, now time.Time) {
	if delay := now.Sub(inForce.Published); p.following && delay > manifestBound {
		p.broken(promise.Configuration, now, zap.Uint64("version", uint64(inForce.Version)), zap.Duration("delay", delay))
	}
}

// reports returns the state of the promises for operators.
func (p *promiseWatch) reports() []operator.Promise {
	states := p.recorder.States()
	reports := make([]operator.Promise, len(states))
	for i, s := range states {
		reports[i] = operator.Promise{
			Name:       string(s.Name),
			Text:       s.Text,
			Watched:    s.Watched,
			Broken:     s.Broken,
			LastBroken: s.LastBroken,
		}
	}
	return reports
}
