package cpuinterference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simulatedReadings feeds a learner with readings of a service whose coefficient for the image "f" is truth.
func simulatedReadings(l *Learner, random *rand.Rand, truth float64, count int) {
	for i := range count {
		at := time.Duration(i) * 500 * time.Millisecond
		for _, task := range []string{"1", "2"} {
			share := random.Float64() / 2
			utilization := math.Min(0.9, 0.3+truth*share+0.03*random.NormFloat64())
			tail := time.Duration(7.5 / (1 - utilization) * float64(time.Millisecond))
			l.Observe(Source{Image: "s", Group: "g", Task: task}, tail, CPUShares{"f": share}, at)
		}
	}
}

func newIdleLearner() *Learner {
	l := NewLearner()
	l.NewReading("s", 10*time.Millisecond, nil, 0) // the tail of the idle service
	return l
}

// Each of several cells saw a part of the readings, and paced tasks as if nothing were known of their images.
func TestEvidenceOfOtherCells(t *testing.T) {
	Convey("Given learners of two cells that saw readings of the same images, and one of a cell that saw none", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		first, second, none := newIdleLearner(), newIdleLearner(), NewLearner()
		simulatedReadings(first, random, 0.8, 20)
		simulatedReadings(second, random, 0.8, 20)
		meanFirst, alone := first.Coefficient("s", "f")
		share := func() {
			none.Add(0, first.Evidence())
			none.Add(1, second.Evidence())
			first.Add(1, second.Evidence())
			second.Add(0, first.Evidence())
		}
		share()
		mean, deviation := none.Coefficient("s", "f")
		Convey("the one that saw none knows as much as both together", func() {
			So(mean, ShouldAlmostEqual, 0.8, 0.15)
			So(deviation, ShouldBeLessThan, 0.8*alone)
			So(none.UtilizationAt("s", 100*time.Millisecond), ShouldEqual, first.UtilizationAt("s", 100*time.Millisecond))
		})
		Convey("repeating the same evidence changes nothing, and nothing comes back as new", func() {
			meanBefore, before := first.Coefficient("s", "f")
			for range 10 {
				share()
				first.Add(2, none.Evidence())
			}
			again, after := first.Coefficient("s", "f")
			So(after, ShouldAlmostEqual, before, 1e-9)
			So(again, ShouldAlmostEqual, meanBefore, 1e-9)
			So(none.Evidence().Services[0].Precision, ShouldResemble, []float64{0})
			So(meanFirst, ShouldAlmostEqual, 0.8, 0.3)
		})
		Convey("an owner that has started anew adds what it learns from then on", func() {
			restarted := newIdleLearner()
			simulatedReadings(restarted, random, 0.8, 3)
			first.Add(1, restarted.Evidence())
			_, less := first.Coefficient("s", "f")
			_, before := none.Coefficient("s", "f")
			So(less, ShouldBeLessThan, alone)
			So(before, ShouldEqual, deviation)
		})
		Convey("evidence that makes no sense is ignored", func() {
			_, before := first.Coefficient("s", "f")
			for _, e := range []ServiceEvidence{
				{"s", 1, []string{"f"}, []float64{math.NaN()}, []float64{1}}, {"s", 1, []string{"f"}, []float64{1}, []float64{math.Inf(1)}},
				{"s", 1, []string{"f"}, []float64{-1e9}, []float64{1}}, {"s", 1, []string{"f"}, []float64{1, 2}, []float64{1}},
				{"s", 1, []string{"f"}, []float64{1}, nil}, {"s", -1, []string{"f"}, []float64{1}, []float64{1}}, {"s", 1, make([]string, 99), nil, nil},
			} {
				first.Add(3, Evidence{Services: []ServiceEvidence{e}})
			}
			_, after := first.Coefficient("s", "f")
			So(after, ShouldEqual, before)
		})
	})
	// A cell that only ever saw two images together knows their sum; taken as knowledge of each, it misled the others.
	Convey("What one cell knows of a sum of coefficients and another of one of them is knowledge of both", t, func() {
		random := rand.New(rand.NewPCG(3, 4))
		both, one, all := newIdleLearner(), newIdleLearner(), newIdleLearner()
		observe := func(l *Learner, i int, shares CPUShares, interference float64) {
			utilization := 0.3 + interference + 0.02*random.NormFloat64()
			tail := time.Duration(7.5 / (1 - utilization) * float64(time.Millisecond))
			l.Observe(Source{Image: "s", Group: "g", Task: fmt.Sprint(i % 2)}, tail, shares, time.Duration(i/2)*500*time.Millisecond)
		}
		for i := range 200 {
			x := random.Float64() / 3
			observe(both, i, CPUShares{"f": x, "g": x}, 1.2*x)
			observe(one, i, CPUShares{"g": x}, 0)
		}
		all.Add(0, both.Evidence())
		all.Add(1, one.Evidence())
		f, _ := all.Coefficient("s", "f")
		g, _ := all.Coefficient("s", "g")
		So(f, ShouldAlmostEqual, 1.2, 0.2)
		So(g, ShouldAlmostEqual, 0, 0.1)
	})
}

// Guards against a process that ends because of one message: evidence without images led to a matrix without rows.
func TestEvidenceWithoutImagesIsIgnored(t *testing.T) {
	l := NewLearner()
	l.Add(1, Evidence{Services: []ServiceEvidence{{Image: "s", LowestTailMS: 1}, {}, {Image: "s", LowestTailMS: 1, Images: []string{"f"}}}})
	if mean, deviation := l.Coefficient("s", "f"); mean != priorMean || deviation != priorDeviation {
		t.Errorf("coefficient %v with deviation %v, want the prior", mean, deviation)
	}
}
