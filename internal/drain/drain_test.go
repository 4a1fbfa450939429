package drain

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

const (
	testNow   = 100 * time.Second
	objective = 4 * time.Second // so that a result is worth something for 12 s
)

func oneTask(milliCPU int, estimate time.Duration) *jobs.Spec {
	return &jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: milliCPU}, Estimate: estimate}}}
}

func newJob(queue string, priority int, spec *jobs.Spec) *Job {
	return &Job{Service: "s", Queue: queue, Priority: priority, Spec: spec, Objective: objective}
}

func kindOfJob(j *Job) Kind { return KindOf(j.Service, j.Queue, j.Priority, &j.Spec.Steps[0]) }

// load is the load of one kind in a cell: tasks like that of a job begin at a rate, and others wait.
type load struct {
	job             *Job
	startsPerSecond int
	waiting         int           // tasks
	short           time.Duration // how long they have found no worker; 0: they find one
}

// measure returns the figures of an owner that has seen loads for as long as a window.
func measure(loads ...load) *Figures {
	m, backlog := NewMeter(), make(map[Kind]float64)
	const tick = 100 * time.Millisecond
	for at := testNow - 15*time.Second; at <= testNow; at += tick {
		for _, l := range loads {
			step, ticks := &l.job.Spec.Steps[0], int(at/tick)
			for range (ticks+1)*l.startsPerSecond/10 - ticks*l.startsPerSecond/10 {
				m.Of(kindOfJob(l.job), at).Began(TaskWork(step), at)
				m.Of(kindOfJob(l.job), at).Ended(step.Estimate, step.Estimate, at)
			}
			if l.short > 0 && at >= testNow-l.short {
				m.Of(kindOfJob(l.job), at).NoRoom(Request(step), at)
			}
		}
	}
	for _, l := range loads {
		backlog[kindOfJob(l.job)] = float64(l.waiting) * TaskWork(&l.job.Spec.Steps[0])
	}
	return &Figures{Kinds: m.Figures(backlog, testNow)}
}

func TestDecide(t *testing.T) {
	small, large := newJob("q", 2, oneTask(500, time.Second)), newJob("q", 2, oneTask(8000, time.Second))
	urgent := newJob("urgent", 0, oneTask(500, time.Second))
	const long = 30 * time.Second
	full := func(waiting int) *Figures { return measure(load{small, 10, waiting, long}) } // ten jobs a second are begun
	with := func(f *Figures, change func(*Figures)) *Figures { change(f); return f }
	for _, c := range []struct {
		load    string
		cells   map[int]*Figures
		job     *Job
		refused bool
	}{
		{"no load", map[int]*Figures{0: measure()}, small, false},
		{"burst of one kind whose backlog drains within the limit", map[int]*Figures{0: full(100)}, small, false},
		{"burst of one kind whose backlog takes longer than the limit", map[int]*Figures{0: full(130)}, small, true},
		{"burst of one kind, and a job that runs longer than the time left", map[int]*Figures{0: full(100)}, newJob("q", 2, &jobs.Spec{Steps: []jobs.Step{
			small.Spec.Steps[0], {Count: 1, Estimate: 3 * time.Second, DependsOn: []int{0}}}}), true},
		{"burst of one kind, and a job of another that finds room", map[int]*Figures{0: full(1000)}, urgent, false},
		{"burst that began 3 s ago", map[int]*Figures{0: measure(load{small, 10, 1000, 3 * time.Second})}, small, false},
		{"best-effort work waits, and an ordinary job comes", map[int]*Figures{0: measure(load{bestEffort("i"), 10, 1000, long})}, small, false},
		{"best-effort work of another image waits", map[int]*Figures{0: measure(load{bestEffort("i"), 10, 1000, long})}, bestEffort("k"), false},
		{"best-effort work of the same image waits", map[int]*Figures{0: measure(load{bestEffort("i"), 10, 1000, long})}, bestEffort("i"), true},
		{"large and small jobs: no room for the large ones, small ones find some", map[int]*Figures{0: measure(load{large, 1, 300, long}, load{small, 10, 0, 0})}, small, false},
		{"large and small jobs: the large ones drain slowly, all together within the limit",
			map[int]*Figures{0: measure(load{large, 1, 30, long}, load{small, 160, 300, long})}, large, false},
		{"large and small jobs: the small ones drain soon, all together later than the limit",
			map[int]*Figures{0: measure(load{large, 1, 300, long}, load{small, 100, 300, long})}, small, false},
		{"large and small jobs: none drain within the limit", map[int]*Figures{0: measure(load{large, 2, 60, long}, load{small, 10, 300, long})}, large, true},
		{"work of a lower priority waits as well", map[int]*Figures{0: measure(load{urgent, 10, 20, long}, load{small, 10, 1000, long})}, urgent, false},
		{"work of a higher priority goes first", map[int]*Figures{0: measure(load{urgent, 10, 300, long}, load{small, 2, 50, long})}, small, true},
		{"uneven failure domains: one is full", map[int]*Figures{0: full(1000), 1: measure(load{small, 10, 0, 0})}, small, false},
		{"uneven failure domains: both are full, one drains within the limit", map[int]*Figures{0: full(1000), 1: full(50)}, small, false},
		{"uneven failure domains: both are full", map[int]*Figures{0: full(1000), 1: full(500)}, small, true},
		{"backlog that has just emptied", map[int]*Figures{0: full(0)}, small, false},
		{"capacity just freed: the tasks that wait find workers again", map[int]*Figures{0: with(full(1000), func(f *Figures) { f.Kinds[0].ShortMS = 0 })}, small, false},
		{"missing figures", map[int]*Figures{0: nil}, small, false},
		{"missing figures of one of two cells", map[int]*Figures{0: full(1000), 1: nil}, small, false},
		{"no cell", nil, small, false},
		{"figures that are 2 s old: as much less waits", map[int]*Figures{0: with(full(130), func(f *Figures) { f.Age = 2 * time.Second })}, small, false},
		{"a domain lost: nothing was begun since the window began", map[int]*Figures{0: measure(load{small, 0, 1000, long})}, small, false},
		{"a queue without an objective", map[int]*Figures{0: full(1000)}, &Job{Service: "s", Queue: "q", Priority: 2, Spec: small.Spec}, false},
		{"a job that is smaller than all that find no room", map[int]*Figures{0: measure(load{small, 10, 1000, long})}, newJob("q", 2, oneTask(300, time.Second)), false},
	} {
		Convey(c.load, t, func() {
			d := Decide(c.cells, c.job)
			So(d.Refused, ShouldEqual, c.refused)
			if c.refused {
				So(d.Next, ShouldBeGreaterThan, 0)
				So(d.RetryAfter(c.job, func() float64 { return 0 }), ShouldBeGreaterThanOrEqualTo, min(d.Next, c.job.Limit()))
			}
		})
	}
}

func bestEffort(image string) *Job {
	spec := oneTask(500, time.Second)
	spec.Steps[0].BestEffort, spec.Steps[0].Image = true, image
	return newJob("q", 2, spec)
}

func TestDrainRate(t *testing.T) {
	small := newJob("q", 2, oneTask(1000, time.Second))
	k := kindOfJob(small)
	rate := func(m *Meter, at time.Duration) float64 { return m.Figures(map[Kind]float64{k: 1}, at)[0].Rate }
	begin := func(m *Meter, starts int, at time.Duration) {
		for range starts {
			m.Of(k, at).Began(1000, at)
		}
	}
	Convey("Tasks that begin in batches, whose mean over the window may be half of their rate, count at least with that rate", t, func() {
		for phase := range 50 {
			m := NewMeter()
			end := 60*time.Second + time.Duration(phase)*100*time.Millisecond
			for at := time.Second; at < end; at += 5100 * time.Millisecond {
				begin(m, 51, at) // 10 a second
			}
			So(rate(m, end), ShouldBeGreaterThanOrEqualTo, 10_000)
		}
	})
	Convey("A steady rate is measured exactly, also while the current second is not complete", t, func() {
		m := NewMeter()
		for at := time.Duration(0); at <= 20500*time.Millisecond; at += 100 * time.Millisecond {
			begin(m, 1, at)
		}
		So(rate(m, 20500*time.Millisecond), ShouldAlmostEqual, 10_000, 1e-6)
	})
	Convey("Capacity that came back 3 s ago counts at once", t, func() {
		m := NewMeter()
		for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
			begin(m, 1, at)
			if at >= 27*time.Second {
				begin(m, 9, at)
			}
		}
		So(rate(m, 30*time.Second), ShouldBeGreaterThanOrEqualTo, 100_000)
	})
	Convey("After a failure domain is lost, the rate follows within the window, and there is none until three seconds are measured", t, func() {
		m := NewMeter()
		begin(m, 100, 0)
		So(rate(m, 2*time.Second), ShouldEqual, 0)
		for at := time.Duration(0); at < 40*time.Second; at += 100 * time.Millisecond {
			begin(m, 1, at)
			if at < 20*time.Second {
				begin(m, 1, at)
			}
		}
		So(rate(m, 40*time.Second), ShouldAlmostEqual, 10_000, 1e-6)
	})
	Convey("The number of kinds is bounded, and unused ones make place", t, func() {
		m := NewMeter()
		for i := range 2 * maxKinds {
			m.Of(Kind{Queue: "q", Size: i}, time.Second).Began(1, time.Second)
		}
		So(m.kinds, ShouldHaveLength, maxKinds)
		m.Of(Kind{Queue: "new"}, time.Minute).Began(1, time.Minute)
		So(m.kinds, ShouldHaveLength, 1)
	})
	Convey("The smallest request without room is that of the last seconds: a small one that found none before may find some now", t, func() {
		m := NewMeter()
		m.Of(k, 10*time.Second).NoRoom(jobs.Resources{MilliCPU: 600}, 10*time.Second)
		for at := 10 * time.Second; at <= 15*time.Second; at += 100 * time.Millisecond {
			m.Of(k, at).NoRoom(jobs.Resources{MilliCPU: 1000}, at)
		}
		f := m.Figures(map[Kind]float64{k: 1}, 15*time.Second)[0]
		So(f.Shortest.MilliCPU, ShouldEqual, 1000)
		So(f.ShortMS, ShouldEqual, 5000)
		f = m.Figures(map[Kind]float64{k: 1}, 17*time.Second)[0]
		So(f.ShortMS, ShouldEqual, 0)
	})
}

func TestNeverFits(t *testing.T) {
	cells := func(complete bool, milliCPU ...int) map[int]*Figures {
		f := &Figures{Complete: complete, Shapes: map[string][]jobs.Resources{}}
		for _, m := range milliCPU {
			f.Shapes["s"] = append(f.Shapes["s"], jobs.Resources{MilliCPU: m, MemoryMB: 1000})
		}
		return map[int]*Figures{0: f}
	}
	labelled := oneTask(1000, time.Second)
	labelled.Steps[0].RequiredLabel = "unknown"
	twoShapes := cells(true, 8000)
	twoShapes[0].Shapes["s"] = append(twoShapes[0].Shapes["s"], jobs.Resources{MilliCPU: 1000, MemoryMB: 9000})
	largeBoth := oneTask(4000, time.Second)
	largeBoth.Steps[0].Request.MemoryMB = 4000
	for _, c := range []struct {
		name  string
		cells map[int]*Figures
		spec  *jobs.Spec
		never bool
	}{
		{"a request larger than the largest worker", cells(true, 4000, 8000), oneTask(8001, time.Second), true},
		{"a request as large as the largest worker", cells(true, 4000, 8000), oneTask(8000, time.Second), false},
		{"processors and memory that no worker has together", twoShapes, largeBoth, true},
		{"the workers are not all known", cells(false, 4000), oneTask(8000, time.Second), false},
		{"no worker of the service was seen: its pool may be powered off", cells(true), oneTask(8000, time.Second), false},
		{"the workers of one cell are not known", map[int]*Figures{0: cells(true, 4000)[0], 1: nil}, oneTask(8000, time.Second), false},
		{"a label that no worker has may appear", cells(true, 4000), labelled, false},
	} {
		Convey(c.name, t, func() {
			_, never := NeverFits(c.cells, newJob("q", 2, c.spec))
			So(never, ShouldEqual, c.never)
		})
	}
}
