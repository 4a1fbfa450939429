package cellnode

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

func TestAcceptedJobs(t *testing.T) {
	Convey("A node remembers the jobs that it stored most recently, up to a limit", t, func() {
		a := newAcceptedJobs()
		knows := func(id jobs.ID) bool {
			_, known := a.cellOf(id)
			return known
		}
		So(knows("first"), ShouldBeFalse)
		a.add("first", 3)
		a.add("first", 3)
		So(knows("first"), ShouldBeTrue)
		for i := range maxAcceptedJobs - 1 {
			a.add(jobs.ID(fmt.Sprint(i)), 0)
		}
		So(knows("first"), ShouldBeTrue)
		a.add("one more", 1)
		So(knows("first"), ShouldBeFalse)
		So(knows("one more"), ShouldBeTrue)
		So(len(a.known), ShouldEqual, maxAcceptedJobs)
		So(len(a.order), ShouldEqual, maxAcceptedJobs)
		a.moved("one more", 4)
		a.moved("first", 4)
		cell, _ := a.cellOf("one more")
		So(cell, ShouldEqual, 4)
		So(knows("first"), ShouldBeFalse)
	})
}
