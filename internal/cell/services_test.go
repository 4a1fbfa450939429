package cell

import (
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
)

// TestReadingsThatOverlapAreTheLearnersReadings checks that a reading with which a new one would overlap is the one that
// Observe would return: observeServices keeps it without a call.
func TestReadingsThatOverlapAreTheLearnersReadings(t *testing.T) {
	world := newBenchWorld(t, benchLoad{startsPerSecond: 300, runTime: time.Second})
	c, compared := world.cell, 0
	for flush := range 1500 {
		world.flush()
		if flush%10 > 0 {
			continue
		}
		for _, w := range c.workers {
			for _, r := range w.services {
				if r.reading == nil || r.task.group.job.ended || !r.reading.Overlaps(c.now) {
					continue
				}
				compared++
				known := c.interference.Observe(cpuinterference.Source{Image: r.task.group.step.Image,
					Group: jobrecord.GroupKey(r.task.group.id), Task: r.task.id.Key()}, time.Millisecond, nil, c.now)
				if known.At != r.reading.At || known.Utilization != r.reading.Utilization || known.OwnLoad != r.reading.OwnLoad {
					t.Fatalf("the learner has %+v instead of %+v", known, *r.reading)
				}
			}
		}
	}
	if compared == 0 {
		t.Fatal("no reading was compared")
	}
}

// TestReadingAfterTheEndOfTheJob checks that a run of a job that has ended gets a new reading although its latest one
// overlaps: the learner has forgotten that one.
func TestReadingAfterTheEndOfTheJob(t *testing.T) {
	world := newBenchWorld(t, benchLoad{startsPerSecond: 300, runTime: time.Second})
	c := world.cell
	for range 1500 {
		world.flush()
		if r := overlappingReading(c); r != nil {
			before := r.reading
			c.observeServices(r.worker)
			if r.reading != before {
				t.Fatal("an overlapping reading was replaced")
			}
			c.endJob(r.task.group.job, jobs.Cancelled)
			c.observeServices(r.worker)
			if r.reading.At != c.now {
				t.Fatal("the forgotten reading was kept")
			}
			return
		}
	}
	t.Fatal("no run has an overlapping reading")
}

// overlappingReading returns a run with a reading that is not of the present time and overlaps with one at that time.
func overlappingReading(c *Cell) *run {
	for _, w := range c.workers {
		for _, r := range w.services {
			if r.reading != nil && r.reading.At != c.now && r.reading.Overlaps(c.now) {
				return r
			}
		}
	}
	return nil
}
