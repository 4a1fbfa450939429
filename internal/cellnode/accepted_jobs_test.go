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
		So(a.has("first"), ShouldBeFalse)
		a.add("first")
		a.add("first")
		So(a.has("first"), ShouldBeTrue)
		for i := range maxAcceptedJobs - 1 {
			a.add(jobs.ID(fmt.Sprint(i)))
		}
		So(a.has("first"), ShouldBeTrue)
		a.add("one more")
		So(a.has("first"), ShouldBeFalse)
		So(a.has("one more"), ShouldBeTrue)
		So(len(a.known), ShouldEqual, maxAcceptedJobs)
		So(len(a.order), ShouldEqual, maxAcceptedJobs)
	})
}
