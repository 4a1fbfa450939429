package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	config := &Config{Version: 1, Queues: []Queue{
		{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "H.example", Prefix: "/a/b/"},
	}}
	inForce := NewInForce()
	inForce.Put(config)
	Convey("The longest matching prefix of the host wins", t, func() {
		So(config.Match("h.EXAMPLE", "/a/b/1").Name, ShouldEqual, "long")
		So(config.Match("h.example", "/a/1").Name, ShouldEqual, "short")
		So(config.Match("h.example", "/c"), ShouldBeNil)
		So(config.Match("other", "/a/1"), ShouldBeNil)
	})
	Convey("A configuration with the same or an older version is ignored", t, func() {
		changed := inForce.Changed()
		So(inForce.Put(&Config{Version: 1}), ShouldBeFalse)
		So(inForce.Get(), ShouldEqual, config)
		So(inForce.Put(&Config{Version: 3}), ShouldBeTrue)
		<-changed
		So(inForce.Put(&Config{Version: 2}), ShouldBeFalse)
		So(inForce.Get().Version, ShouldEqual, 3)
	})
}
