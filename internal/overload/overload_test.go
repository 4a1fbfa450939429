package overload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestController(t *testing.T) {
	const interval = 25 * time.Millisecond
	observe := func(c *Controller, delay time.Duration, from, duration time.Duration) time.Duration {
		for now := from; now < from+duration; now += interval {
			c.Limited()
			c.Observe(delay, now)
		}
		return from + duration
	}
	Convey("An owner that is not delayed starts as much as it can and lets no worker rest", t, func() {
		c := NewController()
		observe(c, 5*time.Millisecond, time.Hour, time.Second)
		So(c.AllowedStarts(0), ShouldEqual, MaxStarts)
		So(c.Rest(), ShouldEqual, 0)
	})
	Convey("A delayed owner lets workers rest before it starts fewer tasks", t, func() {
		c := NewController()
		observe(c, startsDelay/2, time.Hour, time.Second)
		So(c.Rest(), ShouldBeGreaterThan, 500*time.Millisecond)
		So(c.AllowedStarts(0), ShouldEqual, MaxStarts)
	})
	Convey("An owner that stays late starts few tasks, but never none, and recovers", t, func() {
		c := NewController()
		now := observe(c, 2*startsDelay, time.Hour, 30*time.Second)
		So(c.AllowedStarts(0), ShouldEqual, minStarts)
		So(c.Overloaded(now), ShouldBeTrue)
		So(c.Overloaded(now+2*overloadedTime), ShouldBeFalse)
		So(c.AllowedStarts(minStarts+1), ShouldEqual, 0)
		So(c.Rest(), ShouldEqual, MaxRest)
		observe(c, 0, now, 3*time.Second)
		So(c.AllowedStarts(0), ShouldEqual, MaxStarts)
		So(c.Rest(), ShouldEqual, 0)
	})
	Convey("One long delay, as after a suspension, reduces the starts once", t, func() {
		c := NewController()
		c.Observe(10*time.Second, time.Hour)
		c.Observe(0, time.Hour+interval)
		So(c.AllowedStarts(0), ShouldBeGreaterThan, MaxStarts/2)
	})
	Convey("The number of starts does not rise while it is not needed", t, func() {
		c := NewController()
		now := observe(c, 2*startsDelay, time.Hour, 10*time.Second)
		before := c.AllowedStarts(0)
		c.Observe(0, now)
		So(c.AllowedStarts(0), ShouldEqual, before)
	})
}
