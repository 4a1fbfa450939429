package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// world produces the tails of a service beside filling tasks whose true pressure is given.
type world struct {
	random *rand.Rand
	truth  map[string]float64
	load   float64
}

func (w *world) tail(shares Shares) time.Duration {
	u := w.load * (0.97 + 0.06*w.random.Float64())
	for image, x := range shares {
		u += w.truth[image] * x
	}
	u = min(u, 0.99)
	return time.Duration(25/(1-u)) * time.Millisecond
}

func TestPairsAreToldApart(t *testing.T) {
	Convey("A service beside two images, of which one presses", t, func() {
		w := &world{random: rand.New(rand.NewPCG(1, 2)), truth: map[string]float64{"loud": 0.9, "quiet": 0}}
		l := NewLearner()
		before := l.Read("s", 25*time.Millisecond*4/3, nil, 0)
		for i := range 60 {
			w.load = 0.45 + 0.2*float64(i%20)/20
			shares := Shares{"loud": 0.15 * float64(w.random.IntN(3)), "quiet": 0.2 * float64(w.random.IntN(3))}
			after := l.Read("s", w.tail(shares), shares, time.Duration(i)*800*time.Millisecond)
			l.Learn("s", before, after)
			before = after
		}
		loud, _ := l.Pressure("s", "loud")
		quiet, _ := l.Pressure("s", "quiet")
		Convey("is found to mind that one alone", func() {
			So(loud, ShouldBeGreaterThan, 0.6)
			So(quiet, ShouldBeLessThan, 0.15)
		})
	})
	Convey("Tasks of one service on workers of which two have loud neighbours", t, func() {
		w := &world{random: rand.New(rand.NewPCG(3, 4)), truth: map[string]float64{"loud": 0.9, "quiet": 0}}
		l := NewLearner()
		beside := []Shares{{}, {"loud": 0.1}, {"quiet": 0.2}, {"loud": 0.15, "quiet": 0.1}, {}}
		var last Reading
		for i := range 6 {
			w.load = 0.4 + 0.05*float64(i)
			for k, shares := range beside {
				at := time.Duration(i)*800*time.Millisecond + time.Duration(k)*50*time.Millisecond
				last = l.Observe(Source{Image: "s", Group: "job", Task: string(rune('a' + k))}, w.tail(shares), shares, at)
			}
		}
		loud, loudDeviation := l.Pressure("s", "loud")
		quiet, quietDeviation := l.Pressure("s", "quiet")
		Convey("tell the images apart within five seconds", func() {
			So(loud, ShouldBeBetween, 0.6, 1.2)
			So(quiet, ShouldBeLessThan, 0.12)
			So(loudDeviation, ShouldBeLessThan, 0.25)
			So(quietDeviation, ShouldBeLessThan, 0.2)
		})
		Convey("and a learner that takes over a snapshot knows the same", func() {
			other := NewLearner()
			other.Restore(l.Snapshot())
			mean, deviation := other.Pressure("s", "loud")
			So(mean, ShouldEqual, loud)
			So(deviation, ShouldAlmostEqual, loudDeviation, 1e-9)
			So(other.Limit("s", 150*time.Millisecond), ShouldEqual, l.Limit("s", 150*time.Millisecond))
		})
		Convey("and the load that they share is known", func() {
			So(last.Own, ShouldBeBetween, w.load-0.08, w.load+0.08)
		})
	})
	Convey("Tasks of one service on one worker, whose neighbours change", t, func() {
		w := &world{random: rand.New(rand.NewPCG(5, 6)), truth: map[string]float64{"loud": 0.9, "quiet": 0}, load: 0.45}
		l := NewLearner()
		for i := range 40 {
			shares := Shares{"loud": 0.15 * float64(w.random.IntN(3)), "quiet": 0.2 * float64(w.random.IntN(3))}
			for _, task := range []string{"a", "b", "c"} {
				l.Observe(Source{Image: "s", Group: "job", Task: task}, w.tail(shares), shares, time.Duration(i)*800*time.Millisecond)
			}
		}
		loud, _ := l.Pressure("s", "loud")
		quiet, _ := l.Pressure("s", "quiet")
		Convey("teach what presses too", func() {
			So(loud, ShouldBeGreaterThan, 0.6)
			So(quiet, ShouldBeLessThan, 0.15)
		})
	})
	Convey("A pair that was never seen is taken for one that may press", t, func() {
		mean, deviation := NewLearner().Pressure("s", "f")
		So(mean, ShouldBeGreaterThan, 0)
		So(deviation, ShouldBeGreaterThan, 0)
	})
	Convey("Readings too far apart teach nothing", t, func() {
		l := NewLearner()
		before := l.Read("s", 40*time.Millisecond, nil, 0)
		after := l.Read("s", 400*time.Millisecond, Shares{"f": 0.5}, 3*time.Second)
		l.Learn("s", before, after)
		mean, _ := l.Pressure("s", "f")
		So(mean, ShouldEqual, priorMean)
	})
}
