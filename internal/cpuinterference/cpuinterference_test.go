package cpuinterference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/recordcodec"
)

// simulation produces the tail latencies of a service beside best-effort tasks with given coefficients.
type simulation struct {
	random       *rand.Rand
	coefficients map[string]float64
	load         float64
}

func (s *simulation) tail(shares CPUShares) time.Duration {
	u := s.load * (0.97 + 0.06*s.random.Float64())
	for image, x := range shares {
		u += s.coefficients[image] * x
	}
	u = min(u, 0.99)
	return time.Duration(25/(1-u)) * time.Millisecond
}

func TestLearnsCoefficientOfEachPair(t *testing.T) {
	Convey("For a service beside two images, one of which interferes", t, func() {
		sim := &simulation{random: rand.New(rand.NewPCG(1, 2)), coefficients: map[string]float64{"interfering": 0.9, "harmless": 0}}
		l := NewLearner()
		before := l.NewReading("s", 25*time.Millisecond*4/3, nil, 0)
		for i := range 60 {
			sim.load = 0.45 + 0.2*float64(i%20)/20
			shares := CPUShares{"interfering": 0.15 * float64(sim.random.IntN(3)), "harmless": 0.2 * float64(sim.random.IntN(3))}
			after := l.NewReading("s", sim.tail(shares), shares, time.Duration(i)*800*time.Millisecond)
			l.Learn("s", before, after)
			before = after
		}
		interfering, _ := l.Coefficient("s", "interfering")
		harmless, _ := l.Coefficient("s", "harmless")
		Convey("only the interfering image gets a high coefficient", func() {
			So(interfering, ShouldBeGreaterThan, 0.6)
			So(harmless, ShouldBeLessThan, 0.15)
		})
	})
	Convey("For tasks of one service on five workers, two of which run the interfering image", t, func() {
		sim := &simulation{random: rand.New(rand.NewPCG(3, 4)), coefficients: map[string]float64{"interfering": 0.9, "harmless": 0}}
		l := NewLearner()
		beside := []CPUShares{{}, {"interfering": 0.1}, {"harmless": 0.2}, {"interfering": 0.15, "harmless": 0.1}, {}}
		var last Reading
		for i := range 6 {
			sim.load = 0.4 + 0.05*float64(i)
			for k, shares := range beside {
				at := time.Duration(i)*800*time.Millisecond + time.Duration(k)*50*time.Millisecond
				last = l.Observe(Source{Image: "s", Group: "job", Task: string(rune('a' + k))}, sim.tail(shares), shares, at)
			}
		}
		interfering, interferingDeviation := l.Coefficient("s", "interfering")
		harmless, harmlessDeviation := l.Coefficient("s", "harmless")
		Convey("the coefficients are learnt within five seconds", func() {
			So(interfering, ShouldBeBetween, 0.6, 1.2)
			So(harmless, ShouldBeLessThan, 0.12)
			So(interferingDeviation, ShouldBeLessThan, 0.25)
			So(harmlessDeviation, ShouldBeLessThan, 0.2)
		})
		Convey("a learner that restores a snapshot returns the same coefficients", func() {
			other := NewLearner()
			other.Restore(l.Snapshot(0))
			mean, deviation := other.Coefficient("s", "interfering")
			So(mean, ShouldEqual, interfering)
			So(deviation, ShouldAlmostEqual, interferingDeviation, 1e-9)
			So(other.UtilizationAt("s", 150*time.Millisecond), ShouldEqual, l.UtilizationAt("s", 150*time.Millisecond))
		})
		Convey("the service's own load is estimated", func() {
			So(last.OwnLoad, ShouldBeBetween, sim.load-0.08, sim.load+0.08)
		})
	})
	Convey("For tasks of one service on one worker, beside best-effort tasks that change", t, func() {
		sim := &simulation{random: rand.New(rand.NewPCG(5, 6)), coefficients: map[string]float64{"interfering": 0.9, "harmless": 0}, load: 0.45}
		l := NewLearner()
		for i := range 40 {
			shares := CPUShares{"interfering": 0.15 * float64(sim.random.IntN(3)), "harmless": 0.2 * float64(sim.random.IntN(3))}
			for _, task := range []string{"a", "b", "c"} {
				l.Observe(Source{Image: "s", Group: "job", Task: task}, sim.tail(shares), shares, time.Duration(i)*800*time.Millisecond)
			}
		}
		interfering, _ := l.Coefficient("s", "interfering")
		harmless, _ := l.Coefficient("s", "harmless")
		Convey("only the interfering image gets a high coefficient, learnt from successive readings", func() {
			So(interfering, ShouldBeGreaterThan, 0.6)
			So(harmless, ShouldBeLessThan, 0.15)
		})
	})
	Convey("A pair without readings is assumed to interfere, with an uncertain coefficient", t, func() {
		mean, deviation := NewLearner().Coefficient("s", "f")
		So(mean, ShouldBeGreaterThan, 0)
		So(deviation, ShouldBeGreaterThan, 0)
	})
	Convey("Nothing is learnt from readings that are too far apart", t, func() {
		l := NewLearner()
		before := l.NewReading("s", 40*time.Millisecond, nil, 0)
		after := l.NewReading("s", 400*time.Millisecond, CPUShares{"f": 0.5}, 3*time.Second)
		l.Learn("s", before, after)
		mean, _ := l.Coefficient("s", "f")
		So(mean, ShouldEqual, priorMean)
	})
}

// Guards against a snapshot that is larger than the largest record: it was bounded by its number of pairs, and names of images may be long.
func TestSnapshotIsBoundedInBytes(t *testing.T) {
	Convey("Given a learner that knows 30 services beside 40 other images with long names", t, func() {
		l := NewLearner()
		image := func(kind string, i int) string { return fmt.Sprintf("%s-%03d-%0100d", kind, i, i) }
		for service := range 30 {
			l.service(image("service", service)).lowestTailMS = 40
			for other := range 40 {
				s := l.service(image("service", service))
				k := s.coefficientIndex(image("other", other))
				s.mean[k], s.covariance[k][k] = 0.5, float64(1+other)
			}
		}
		for _, limit := range []int{0, 1 << 18, 1 << 14, 2000, 10} {
			snapshot := l.Snapshot(limit)
			encoded, err := recordcodec.Encode(&snapshot)
			So(err, ShouldBeNil)
			if limit == 0 {
				So(snapshot.Pairs, ShouldHaveLength, 1200)
				So(len(encoded), ShouldBeGreaterThan, 1<<18)
				continue
			}
			So(len(encoded), ShouldBeLessThanOrEqualTo, max(limit, 16))
			if limit == 1<<18 {
				So(len(snapshot.Pairs), ShouldBeGreaterThan, 900)
			}
			for _, pair := range snapshot.Pairs { // of all services, those that most is known of
				So(pair.Deviation*pair.Deviation, ShouldBeLessThan, 2+float64(len(snapshot.Pairs))/30)
			}
		}
	})
}
