package straggler

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const s = time.Second

// straggling returns a run that takes seven times as long as normal, of a job that would be late by it.
func straggling() Case {
	return Case{Elapsed: 2 * s, Remaining: 19 * s, Normal: 3 * s, Rerun: 3 * s, Age: 2500 * time.Millisecond, Objective: 9 * s,
		Success: 0.75, MayCopy: true}
}

// TestDecide guards against copies and restarts that gain nothing for the job, and against jobs that are late because of a
// run that nothing was done about.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		situation string
		change    func(c *Case)
		want      Action
	}{
		{"a run takes seven times as long and copies are permitted", func(*Case) {}, Copy},
		{"neither copies nor a restart are permitted", func(c *Case) { c.MayCopy = false }, Wait},
		{"a restart is permitted", func(c *Case) { c.MayCopy, c.MayRestart = false, true }, Restart},
		{"both are permitted: the present run goes on", func(c *Case) { c.MayRestart = true }, Copy},
		{"the run is normal", func(c *Case) { c.Remaining = s }, Wait},
		{"the run has only begun", func(c *Case) { c.Elapsed = 400 * time.Millisecond }, Wait},
		{"the run has used little of the normal run time", func(c *Case) { c.Normal, c.Rerun, c.Objective = 30*s, 30*s, 60*s }, Wait},
		{"the normal run time is not known", func(c *Case) { c.Normal = 0 }, Wait},
		{"the job has no objective", func(c *Case) { c.Objective = 0 }, Wait},
		{"the job is on time all the same", func(c *Case) { c.Objective = 60 * s }, Wait},
		{"the job is on time, but not with the steps that follow", func(c *Case) { c.Objective, c.After = 30*s, 12*s }, Copy},
		{"the job is worthless by now", func(c *Case) { c.Age = 40 * s }, Wait},
		{"the job is late in any case, but would be later", func(c *Case) { c.Age = 9 * s }, Copy},
		{"the run ends soon", func(c *Case) { c.Remaining = 4 * s }, Wait},
		{"copies have hardly ever succeeded first", func(c *Case) { c.Success, c.Age = minSuccess, 9*s }, Wait},
		{"a restart would take a third of the remaining time", func(c *Case) { c.MayCopy, c.MayRestart, c.Remaining = false, true, 9*s }, Wait},
		{"a restart continues from a checkpoint", func(c *Case) {
			c.MayCopy, c.MayRestart, c.Remaining, c.Rerun = false, true, 9*s, s
		}, Restart},
	} {
		Convey("When "+c.situation, t, func() {
			run := straggling()
			c.change(&run)
			decision := Decide(run)
			So(decision.Action, ShouldEqual, c.want)
			So(decision.Gain > 0, ShouldEqual, c.want != Wait)
		})
	}
}

// TestWorth guards against a worth that rises with the age, which would make a late end look like a gain.
func TestWorth(t *testing.T) {
	Convey("The worth of a job falls with its age, from 1 to 0 at three times its objective", t, func() {
		before := 1.0
		for age := time.Duration(0); age <= 40*s; age += s / 10 {
			worth := Worth(age, 10*s)
			So(worth, ShouldBeGreaterThanOrEqualTo, 0)
			So(worth, ShouldBeLessThanOrEqualTo, before)
			before = worth
		}
		So(Worth(8*s, 10*s), ShouldEqual, 1)
		So(Worth(30*s, 10*s), ShouldEqual, 0)
	})
}

// TestProgress guards against runs that are taken for stragglers because of rounded percentages or a pause between reports,
// and against a worker that has become slow being judged by its former speed.
func TestProgress(t *testing.T) {
	Convey("Given a run that has begun", t, func() {
		p := &Progress{}
		p.Observe(0, 0)
		Convey("nothing is known without progress, and too early", func() {
			p.Observe(0, s)
			_, known := p.Remaining(s)
			So(known, ShouldBeFalse)
			p = &Progress{}
			p.Observe(0, 0)
			p.Observe(30, minProgressSpan/2)
			_, known = p.Remaining(minProgressSpan / 2)
			So(known, ShouldBeFalse)
		})
		Convey("the remaining time follows from the speed, a little less since percentages are rounded down", func() {
			p.Observe(10, s)
			remaining, known := p.Remaining(s)
			So(known, ShouldBeTrue)
			So(remaining, ShouldBeBetween, 8*s, 9*s)
			later, _ := p.Remaining(3 * s)
			So(later, ShouldEqual, remaining-2*s)
		})
		Convey("a run on a worker that has become slow is judged by its present speed", func() {
			at := time.Duration(0)
			for percent := range 50 {
				at += 50 * time.Millisecond
				p.Observe(percent, at)
			}
			fast, _ := p.Remaining(at)
			for percent := range 10 {
				at += 700 * time.Millisecond
				p.Observe(50+percent, at)
			}
			slow, _ := p.Remaining(at)
			So(fast, ShouldBeLessThan, 3*s)
			So(slow, ShouldBeGreaterThan, 15*s)
		})
		Convey("a run that continues from a checkpoint is judged by its own progress", func() {
			p = &Progress{}
			p.Observe(60, 0)
			p.Observe(64, 2*s)
			remaining, _ := p.Remaining(2 * s)
			So(remaining, ShouldBeBetween, 14*s, 18*s)
		})
		Convey("a number that falls begins anew", func() {
			p.Observe(90, s)
			p.Observe(5, 2*s)
			_, known := p.Remaining(2 * s)
			So(known, ShouldBeFalse)
		})
	})
}

// TestRunTimes guards against a normal run time that follows the stragglers, and against tables that grow with the names
// that callers choose.
func TestRunTimes(t *testing.T) {
	Convey("Given runs of which one in thirty takes seven times as long", t, func() {
		times := NewRunTimes()
		random := rand.New(rand.NewPCG(1, 2))
		for i := range 3000 {
			ran := time.Duration((0.8 + 0.4*random.Float64()) * float64(2*s))
			if i%30 == 0 {
				ran *= 7
			}
			times.Observe("k", ran, 2*s)
		}
		Convey("the normal run time is that of the others", func() {
			So(times.Quantile("k", 0.5, 2*s), ShouldBeBetween, 1700*time.Millisecond, 2300*time.Millisecond)
			So(times.Quantile("k", 0.5, 4*s), ShouldBeBetween, 3400*time.Millisecond, 4600*time.Millisecond)
		})
		Convey("a run that has taken twice as long is expected to be one of the slow ones", func() {
			remaining, known := times.Remaining("k", 4*s, 2*s)
			So(known, ShouldBeTrue)
			So(remaining, ShouldBeBetween, 7*s, 13*s)
		})
		Convey("nothing is known beyond the longest, and of other kinds", func() {
			_, known := times.Remaining("k", time.Minute, 2*s)
			So(known, ShouldBeFalse)
			So(times.Quantile("other", 0.5, s), ShouldEqual, 0)
			So(times.Count("other"), ShouldEqual, 0)
		})
		Convey("it follows a change", func() {
			for range 2000 {
				times.Observe("k", 8*s, 2*s)
			}
			So(times.Quantile("k", 0.5, 2*s), ShouldBeGreaterThan, 7*s)
		})
		Convey("the number of kinds is limited, and those in use are kept", func() {
			for i := range 3 * maxKinds {
				times.Observe("k", 2*s, 2*s)
				times.Observe(string(rune('a'+i%26))+time.Duration(i).String(), s, s)
			}
			So(len(times.kinds), ShouldEqual, maxKinds)
			So(times.Count("k"), ShouldBeGreaterThan, 0)
		})
		Convey("run times out of range are counted at the ends", func() {
			times.Observe("odd", time.Nanosecond, s)
			times.Observe("odd", 1000*time.Hour, time.Nanosecond)
			times.Observe("odd", 0, s)
			times.Observe("odd", s, 0)
			So(times.Count("odd"), ShouldEqual, 2)
		})
	})
}

// TestSpeed guards against healthy workers that are avoided because of stragglers or of tasks whose run times vary, and
// against a slow worker that gets work all the time or never again.
func TestSpeed(t *testing.T) {
	usual := func() time.Duration { return 1200 * time.Millisecond }
	Convey("The pace of a run is that of others of its kind", t, func() {
		So(PaceOf(s, s, usual), ShouldEqual, NormalPace)
		So(PaceOf(7*s, s, usual), ShouldEqual, SlowPace)
		So(PaceOf(2*s, s, usual), ShouldEqual, UnknownPace)
		So(PaceOf(7*s, 0, usual), ShouldEqual, UnknownPace)
		So(PaceOf(4*s, s, func() time.Duration { return 3500 * time.Millisecond }), ShouldEqual, UnknownPace)
	})
	Convey("Given a worker", t, func() {
		var w Speed
		observe := func(pace Pace, at time.Duration) bool { return w.Observe(pace, true, at) }
		Convey("it is slow once three runs are slow, and this is reported once", func() {
			So(observe(SlowPace, s), ShouldBeFalse)
			So(observe(SlowPace, s), ShouldBeFalse)
			So(w.SlowUntil(), ShouldEqual, 0)
			So(observe(SlowPace, s), ShouldBeTrue)
			So(observe(SlowPace, 2*s), ShouldBeFalse)
			So(w.SlowUntil(), ShouldEqual, 2*s+slowMemory)
		})
		Convey("one slow run that is seen many times is a straggler", func() {
			for i := range 20 {
				w.Observe(SlowPace, i == 0, s)
			}
			So(w.SlowUntil(), ShouldEqual, 0)
		})
		Convey("a normal run shows that it is not slow", func() {
			for range 3 {
				observe(SlowPace, s)
			}
			observe(NormalPace, 2*s)
			So(w.SlowUntil(), ShouldEqual, 0)
		})
		Convey("a run that says nothing changes nothing", func() {
			observe(UnknownPace, s)
			So(w, ShouldResemble, Speed{})
		})
		Convey("after the memory has passed, one slow run is enough", func() {
			for range 3 {
				observe(SlowPace, s)
			}
			So(observe(SlowPace, s+2*slowMemory), ShouldBeTrue)
		})
	})
}

// TestResults guards against copies that go on where they never help, and against giving them up for good.
func TestResults(t *testing.T) {
	Convey("Copies are expected to succeed as often as they did", t, func() {
		var r Results
		So(r.Success(), ShouldEqual, assumedSuccess)
		for range 100 {
			r.Observe(false)
		}
		So(r.Success(), ShouldEqual, minSuccess)
		for range 100 {
			r.Observe(true)
		}
		So(r.Success(), ShouldBeGreaterThan, 0.8)
	})
}
