package placedelay

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const second = time.Second

// TestDecide guards against waits that do not pay, and starts elsewhere that a short wait would have avoided.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		situation string
		change    func(*Choice)
		want      Reason
	}{
		{"a slot that becomes free within the time that the place saves is worth a wait", func(*Choice) {}, Waits},
		{"a slot that becomes free later is not", func(c *Choice) { c.Slot = 4100 * time.Millisecond }, Sooner},
		{"with a factor of 1.5 the place saves less", func(c *Choice) { c.Factor = 1.5 }, Sooner},
		{"a place without runs that end is not waited for", func(c *Choice) { c.HasSlot = false }, NoSlot},
		{"a task that meets its objective elsewhere but perhaps not at the place does not wait",
			func(c *Choice) { c.Limit, c.HasLimit = 7*second, true }, Objective},
		{"a task that misses its objective elsewhere waits, since it ends sooner at the place",
			func(c *Choice) { c.Limit, c.HasLimit = 5*second, true }, Waits},
		{"a task that meets its objective at the place for certain waits",
			func(c *Choice) { c.Limit, c.HasLimit = 9*second, true }, Waits},
		{"the last free slot elsewhere is left to others where the load is high",
			func(c *Choice) { c.Slot, c.Elsewhere = 6*second, Group{Free: 1, Load: 0.8} }, Waits},
		{"the same load with many free slots elsewhere does not make a task wait",
			func(c *Choice) { c.Slot, c.Elsewhere = 6*second, Group{Free: 20, Load: 0.8} }, Sooner},
		{"a factor of 1 saves nothing", func(c *Choice) { c.Factor = 1 }, Sooner},
	} {
		Convey(c.situation, t, func() {
			choice := Choice{RunTime: 2 * second, Factor: 3, Slot: 2 * second, HasSlot: true, Elsewhere: Group{Free: 4, Load: 0.1}}
			c.change(&choice)
			var w Wait
			So(w.Decide(second, &choice), ShouldEqual, c.want)
			So(w.Waiting(), ShouldEqual, c.want == Waits)
		})
	}
}

// TestWaitsEnd guards against waits without an end: for a slot that does not become free, and for one that is again and
// again expected soon.
func TestWaitsEnd(t *testing.T) {
	Convey("Given a task that waits for a slot which is expected in half a second", t, func() {
		choice := Choice{RunTime: 2 * second, Factor: 3, Slot: second / 2, HasSlot: true, Elsewhere: Group{Free: 4}}
		var w Wait
		So(w.Decide(0, &choice), ShouldEqual, Waits)
		So(w.Estimate(), ShouldEqual, second/2)
		end := scale(second/2, OverrunFactor) + Grace
		Convey("it waits until the slot is overdue, and then never again", func() {
			So(w.Decide(end-1, &choice), ShouldEqual, Waits)
			So(w.Decide(end, &choice), ShouldEqual, Overdue)
			So(w.Total(10*second), ShouldEqual, end)
			So(w.Decide(20*second, &choice), ShouldEqual, Overdue)
		})
		Convey("it stops waiting when the slot is expected later than it pays", func() {
			choice.Slot = 5 * second
			So(w.Decide(second/4, &choice), ShouldEqual, Sooner)
			So(w.Total(second), ShouldEqual, second/4)
		})
		Convey("waits that are interrupted by a lack of slots elsewhere add up to what the place saves", func() {
			now, reason := time.Duration(0), Waits
			for reason == Waits && now < time.Minute {
				now += second
				w.End(now)
				now += 10 * second
				reason = w.Decide(now, &choice)
			}
			So(reason, ShouldEqual, Bound)
			So(w.Total(now), ShouldEqual, 4*second)
		})
	})
	Convey("No load makes a task wait for longer than MaxTotal", t, func() {
		choice := Choice{RunTime: second, Factor: 2, Slot: 21 * second, HasSlot: true, Elsewhere: Group{Free: 1, Load: 1}}
		var w Wait
		So(choice.MaxTotal(), ShouldBeBetween, 19*second, 21*second)
		So(w.Decide(0, &choice), ShouldNotEqual, Waits)
	})
}

func TestSlots(t *testing.T) {
	Convey("Tasks that wait ahead take the slots that become free first, and each again after a run time", t, func() {
		ends := []time.Duration{second, 3 * second}
		for ahead, want := range []time.Duration{second, 3 * second, 6 * second, 8 * second, 11 * second} {
			slot, known := SlotTime(ends, ahead, 5*second)
			So(known, ShouldBeTrue)
			So(slot, ShouldEqual, want)
		}
		_, known := SlotTime(nil, 0, second)
		So(known, ShouldBeFalse)
	})
	Convey("A gang gets its slots when the last of them is free, behind the tasks ahead of it", t, func() {
		ends := []time.Duration{0, 0, second, 4 * second}
		slot, known := GangSlot(ends, 3, 0)
		So(slot, ShouldEqual, second)
		So(known, ShouldBeTrue)
		slot, _ = GangSlot(ends, 3, 1)
		So(slot, ShouldEqual, 4*second)
		_, known = GangSlot(ends, 4, 1)
		So(known, ShouldBeFalse)
	})
	Convey("A run beyond its expected end is not about to end", t, func() {
		So(Residual(10*second, 2*second), ShouldEqual, 8*second)
		So(Residual(10*second, 10*second), ShouldEqual, 4*second)
		So(Residual(10*second, 30*second), ShouldEqual, 12*second)
	})
}

func TestLearning(t *testing.T) {
	Convey("Run times are learned by image, and without one as multiples of the estimate in each queue", t, func() {
		var r RunTimes
		So(r.Expected(Kind{Image: "i"}, second), ShouldEqual, second)
		for range 50 {
			r.Observe(Kind{Image: "i"}, second, 4*second)
			r.Observe(Kind{Queue: "q"}, second, 3*second)
			r.Observe(Kind{Queue: "no estimate"}, 0, 3*second)
			r.Observe(Kind{Image: "never seen running"}, second, 0)
		}
		So(r.Expected(Kind{Image: "i"}, 0), ShouldEqual, 4*second)
		So(r.Expected(Kind{Queue: "q"}, 10*second), ShouldEqual, 30*second)
		So(r.Expected(Kind{Queue: "no estimate"}, 0), ShouldEqual, 0)
		So(r.Expected(Kind{Image: "never seen running"}, second), ShouldEqual, second)
	})
	Convey("Estimates and run times of any length cause no overflow", t, func() {
		var r RunTimes
		longest := time.Duration(math.MaxInt64)
		So(r.Expected(Kind{Queue: "q"}, longest), ShouldEqual, maxRunTime)
		r.Observe(Kind{Queue: "q"}, time.Nanosecond, longest)
		So(r.Expected(Kind{Queue: "q"}, longest), ShouldEqual, maxRunTime)
		slot, _ := SlotTime([]time.Duration{Residual(maxRunTime*100*100, 0)}, 20_000, maxRunTime)
		choice := Choice{RunTime: maxRunTime, Factor: 100, Slot: slot, HasSlot: true, Elsewhere: Group{Free: 1, Load: 1}}
		So(choice.MaxTotal(), ShouldBeGreaterThan, 0)
		So(scale(slot, OverrunFactor), ShouldBeGreaterThan, slot)
		So(new(Wait).Decide(0, &choice), ShouldEqual, Sooner)
	})
	Convey("The number of kinds is bounded", t, func() {
		var r RunTimes
		for i := range 3 * maxKinds {
			r.Observe(Kind{Image: time.Duration(i).String()}, 0, second)
		}
		So(len(r.means), ShouldBeLessThanOrEqualTo, maxKinds)
	})
	Convey("The load is a mean over the last seconds", t, func() {
		var l Load
		So(l.Observe(0, 1), ShouldEqual, 1)
		So(l.Observe(0, 0), ShouldEqual, 1)
		So(l.Observe(loadMemory, 1), ShouldAlmostEqual, 0.368, 0.001)
		So(l.Observe(100*loadMemory, 0), ShouldEqual, 0)
	})
}
