package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/jobs"
)

func anyWorker(int) bool { return true }

func TestBest(t *testing.T) {
	request := jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}
	worker := func(id, rack string, free, spare int) Worker {
		return Worker{ID: id, Rack: rack, Free: jobs.Resources{MilliCPU: free, MemoryMB: 64000}, SpareMilliCPU: spare, MilliCPU: 16000}
	}
	Convey("A worker without enough free resources is never chosen", t, func() {
		So(Best([]Worker{worker("a", "r1", 900, 900)}, Need{Requested: request, ExpectedMilliCPU: 1000}, anyWorker), ShouldEqual, -1)
	})
	Convey("An ordinary task goes to the worker with the most unused CPU capacity", t, func() {
		workers := []Worker{worker("a", "r1", 8000, 2000), worker("b", "r1", 4000, 6000)}
		So(Best(workers, Need{Requested: request, ExpectedMilliCPU: 1000}, anyWorker), ShouldEqual, 1)
	})
	Convey("A task prefers the rack that holds its data, even with less CPU capacity there", t, func() {
		workers := []Worker{worker("a", "r1", 8000, 8000), worker("b", "r2", 2000, 1000)}
		So(Best(workers, Need{Requested: request, ExpectedMilliCPU: 1000, DataRack: "r2"}, anyWorker), ShouldEqual, 1)
	})
	Convey("A best-effort task waits when less than 70% of its expected CPU use is unused", t, func() {
		memoryOnly := jobs.Resources{MemoryMB: 1000}
		workers := []Worker{worker("a", "r1", 0, 500)}
		So(Best(workers, Need{Kind: BestEffort, Requested: memoryOnly, ExpectedMilliCPU: 1000}, anyWorker), ShouldEqual, -1)
		So(Best(workers, Need{Kind: BestEffort, Requested: memoryOnly, ExpectedMilliCPU: 600}, anyWorker), ShouldEqual, 0)
	})
	Convey("For services that are slowed down by different images", t, func() {
		mixed, empty := worker("mixed", "r1", 4000, 4000), worker("empty", "r1", 16000, 16000)
		similar := worker("similar", "r1", 2000, 2000)
		mismatch := map[string]float64{"mixed": 0.6}
		choose := func(workers ...Worker) string {
			i := Best(workers, Need{Kind: LongRunning, Requested: request, ExpectedMilliCPU: 500, InterferenceMismatch: func(i int) float64 {
				return mismatch[workers[i].ID]
			}}, anyWorker)
			return workers[i].ID
		}
		Convey("a worker with similar services is chosen first, then an empty one, and one with different services only if there is no other", func() {
			So(choose(mixed, empty, similar), ShouldEqual, "similar")
			So(choose(mixed, empty), ShouldEqual, "empty")
			So(choose(mixed), ShouldEqual, "mixed")
		})
	})
	Convey("A best-effort task goes where it brings services less close to their targets, even with less unused CPU capacity there", t, func() {
		workers := []Worker{worker("peak", "r1", 8000, 8000), worker("trough", "r1", 8000, 6000)}
		risk := []float64{0.4, 0.1}
		need := Need{Kind: BestEffort, Requested: jobs.Resources{MemoryMB: 1000}, ExpectedMilliCPU: 1000,
			InterferenceRisk: func(i int) float64 { return risk[i] }}
		So(Best(workers, need, anyWorker), ShouldEqual, 1)
		need.InterferenceRisk = nil
		So(Best(workers, need, anyWorker), ShouldEqual, 0)
	})
	Convey("A worker with a high failure rate comes last", t, func() {
		bad := worker("bad", "r1", 16000, 16000)
		bad.FailureRate = 0.6
		So(Best([]Worker{bad, worker("good", "r1", 4000, 3000)}, Need{Requested: request, ExpectedMilliCPU: 1000}, anyWorker), ShouldEqual, 1)
	})
}

// TestBestIsFirstWithHighestScore compares Best to a search that looks at each worker in full.
func TestBestIsFirstWithHighestScore(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		workers := make([]Worker, 1+random.IntN(12))
		fits, mismatch := make([]bool, len(workers)), make([]float64, len(workers))
		for i := range workers {
			free := 1000 * random.IntN(4)
			workers[i] = Worker{ID: string(rune('a' + i)), Rack: string(rune('r' + random.IntN(2))), Free: jobs.Resources{MilliCPU: free},
				SpareMilliCPU: free, MilliCPU: 4000, FailureRate: float64(random.IntN(2)) / 4}
			fits[i], mismatch[i] = random.IntN(3) > 0, float64(random.IntN(3))/2
		}
		need := Need{Kind: Kind(random.IntN(3)), Requested: jobs.Resources{MilliCPU: 1000}, ExpectedMilliCPU: 1000,
			AvoidWorker: string(rune('a' + random.IntN(12)))}
		if random.IntN(2) == 0 {
			need.DataRack = "r"
		}
		switch need.Kind {
		case LongRunning:
			need.InterferenceMismatch = func(i int) float64 { return mismatch[i] }
		case BestEffort:
			need.InterferenceRisk = func(i int) float64 { return mismatch[i] }
		}
		expected, highest := -1, 0.0
		for i := range workers {
			w := &workers[i]
			if !fits[i] || !w.Free.Contains(need.Requested) || need.Kind == BestEffort && !hasSpareCPU(w, &need) {
				continue
			}
			value := score(w, &need)
			if need.InterferenceMismatch != nil {
				value -= mismatchPenalty * mismatch[i]
			}
			if need.InterferenceRisk != nil {
				value -= mismatch[i]
			}
			if expected < 0 || value > highest {
				expected, highest = i, value
			}
		}
		if best := Best(workers, need, func(i int) bool { return fits[i] }); best != expected {
			t.Fatalf("best of %+v for %+v is %d instead of %d", workers, need, best, expected)
		}
	}
}
