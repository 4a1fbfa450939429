package placement

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

func anywhere(int) bool { return true }

func TestBest(t *testing.T) {
	room := jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}
	worker := func(id, rack string, free, spare int) Worker {
		return Worker{ID: id, Rack: rack, Free: jobs.Resources{MilliCPU: free, MemoryMB: 64000}, Spare: spare, Size: 16000}
	}
	Convey("A worker without room is never chosen", t, func() {
		So(Best([]Worker{worker("a", "r1", 900, 900)}, Need{Room: room, Use: 1000}, anywhere), ShouldEqual, -1)
	})
	Convey("An ordinary task goes where most processor time is unused", t, func() {
		workers := []Worker{worker("a", "r1", 8000, 2000), worker("b", "r1", 4000, 6000)}
		So(Best(workers, Need{Room: room, Use: 1000}, anywhere), ShouldEqual, 1)
	})
	Convey("A task goes to its data's rack before any other", t, func() {
		workers := []Worker{worker("a", "r1", 8000, 8000), worker("b", "r2", 2000, 1000)}
		So(Best(workers, Need{Room: room, Use: 1000, Rack: "r2"}, anywhere), ShouldEqual, 1)
	})
	Convey("A filling task waits rather than share what is left with others", t, func() {
		fill := jobs.Resources{MemoryMB: 1000}
		workers := []Worker{worker("a", "r1", 0, 500)}
		So(Best(workers, Need{Kind: Filling, Room: fill, Use: 1000}, anywhere), ShouldEqual, -1)
		So(Best(workers, Need{Kind: Filling, Room: fill, Use: 600}, anywhere), ShouldEqual, 0)
	})
	Convey("Of services that mind different images", t, func() {
		mixed, empty := worker("mixed", "r1", 4000, 4000), worker("empty", "r1", 16000, 16000)
		alike := worker("alike", "r1", 2000, 2000)
		mismatch := map[string]float64{"mixed": 0.6}
		choose := func(workers ...Worker) string {
			i := Best(workers, Need{Kind: Lasting, Room: room, Use: 500, Mismatch: func(i int) float64 {
				return mismatch[workers[i].ID]
			}}, anywhere)
			return workers[i].ID
		}
		Convey("like ones share a worker, others take an empty one, and mix only when there is none", func() {
			So(choose(mixed, empty, alike), ShouldEqual, "alike")
			So(choose(mixed, empty), ShouldEqual, "empty")
			So(choose(mixed), ShouldEqual, "mixed")
		})
	})
	Convey("A worker that fails much of what it runs comes last", t, func() {
		bad := worker("bad", "r1", 16000, 16000)
		bad.FailureRate = 0.6
		So(Best([]Worker{bad, worker("good", "r1", 4000, 3000)}, Need{Room: room, Use: 1000}, anywhere), ShouldEqual, 1)
	})
}
