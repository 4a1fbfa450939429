package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	c := &Config{Version: 1, Queues: []Queue{
		{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "H.example", Prefix: "/a/b/"},
	}}
	f := NewInForce()
	f.Put(c)
	Convey("The longest prefix of the host wins", t, func() {
		So(c.Match("h.EXAMPLE", "/a/b/1").Name, ShouldEqual, "long")
		So(c.Match("h.example", "/a/1").Name, ShouldEqual, "short")
		So(c.Match("h.example", "/c"), ShouldBeNil)
		So(c.Match("other", "/a/1"), ShouldBeNil)
	})
	Convey("An older or equal version is never put in force", t, func() {
		changed := f.Changed()
		So(f.Put(&Config{Version: 1}), ShouldBeFalse)
		So(f.Get(), ShouldEqual, c)
		So(f.Put(&Config{Version: 3}), ShouldBeTrue)
		<-changed
		So(f.Put(&Config{Version: 2}), ShouldBeFalse)
		So(f.Get().Version, ShouldEqual, 3)
	})
}
