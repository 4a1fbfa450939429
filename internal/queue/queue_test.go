package queue

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMatch(t *testing.T) {
	config := &Config{Version: 1, Queues: []Queue{
		{Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "long", Host: "H.example", Prefix: "/a/b/"},
	}}
	active := NewActiveConfig()
	active.Update(config)
	Convey("The longest matching prefix of the host wins", t, func() {
		So(config.Match("h.EXAMPLE", "/a/b/1").Name, ShouldEqual, "long")
		So(config.Match("h.example", "/a/1").Name, ShouldEqual, "short")
		So(config.Match("h.example", "/c"), ShouldBeNil)
		So(config.Match("other", "/a/1"), ShouldBeNil)
	})
	Convey("A configuration with the same or an older version is ignored", t, func() {
		changed := active.Changed()
		So(active.Update(&Config{Version: 1}), ShouldBeFalse)
		So(active.Get(), ShouldEqual, config)
		So(active.Update(&Config{Version: 3}), ShouldBeTrue)
		<-changed
		So(active.Update(&Config{Version: 2}), ShouldBeFalse)
		So(active.Get().Version, ShouldEqual, 3)
	})
}
