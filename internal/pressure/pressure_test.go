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
