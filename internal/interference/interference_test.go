package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
)

func TestModelLearnsPairs(t *testing.T) {
	Convey("From noisy sums over changing neighbours the model tells a noisy kind from a quiet one", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		m := NewModel()
		for range 400 {
			shares := map[string]float64{"noisy": 0.5 * random.Float64(), "quiet": 0.5 * random.Float64()}
			m.Observe("service", shares, 4*shares["noisy"]+0.2*shares["quiet"]+0.05*random.NormFloat64())
		}
		So(m.Slowdown("service", "noisy"), ShouldAlmostEqual, 4, 0.5)
		So(m.Slowdown("service", "quiet"), ShouldAlmostEqual, 0.2, 0.4)
		So(m.Slowdown("service", "unknown"), ShouldEqual, priorSlowdown)
	})
}

// loop is one worker whose service is measured with a lag.
type loop struct {
	control   *Controller
	throttles []float64
	moved     []bool
	late      []float64
	changes   int
}

// pressure is the true latency as a multiple of the target.
func (l *loop) pressure(slowdown float64) float64 {
	sum := 0.4
	for i, share := range l.throttles {
		if !l.moved[i] {
			sum += share * slowdown
		}
	}
	return sum
}

// second takes the measurement of lag seconds ago and returns the true pressure now.
func (l *loop) second(now time.Time, lag int, slowdown float64) float64 {
	actual := l.pressure(slowdown)
	l.late = append(l.late, actual)
	if len(l.late) <= lag {
		return actual
	}
	var aggressors []Aggressor
	for i, share := range l.throttles {
		if !l.moved[i] {
			aggressors = append(aggressors, Aggressor{Run: platform.RunID{Task: fmt.Sprint(i)}, Harm: slowdown, Throttle: share, Movable: true})
		}
	}
	for _, step := range l.control.React("w", l.late[len(l.late)-1-lag], aggressors, now) {
		l.changes++
		var i int
		_, _ = fmt.Sscan(step.Run.Task, &i)
		if step.Move {
			l.moved[i] = true
		} else {
			l.throttles[i] = step.Throttle
		}
	}
	return actual
}

func TestWaveOfNoisyTasks(t *testing.T) {
	for _, slowdown := range []float64{0.2, 0.35, 0.6, 1.5} {
		Convey(fmt.Sprintf("Four noisy tasks of slowdown %v are brought under the target and do not oscillate", slowdown), t, func() {
			const lag, tasks = 2, 4
			l := &loop{control: NewController(), throttles: []float64{1, 1, 1, 1}, moved: make([]bool, tasks)}
			now := time.Unix(1000, 0)
			lastOver := 0
			for s := range 1800 {
				if l.second(now, lag, slowdown) > 1 {
					lastOver = s
				}
				if s == 60 {
					// Two throttling steps together and one move for each task at most.
					So(lastOver, ShouldBeLessThan, lag+(2+tasks)*int(ReactionTime/time.Second))
				}
				now = now.Add(time.Second)
			}
			So(l.changes, ShouldBeLessThan, 45)
		})
	}
}

func TestThrottleComesBeforeMove(t *testing.T) {
	Convey("A run is throttled to the least share before any is moved", t, func() {
		c := NewController()
		now := time.Unix(1000, 0)
		throttle := 1.0
		for {
			steps := c.React("w", 3, []Aggressor{{Throttle: throttle, Movable: true}}, now)
			now = now.Add(ReactionTime)
			So(steps, ShouldHaveLength, 1)
			step := steps[0]
			if step.Move {
				break
			}
			So(step.Throttle, ShouldBeLessThan, throttle)
			throttle = step.Throttle
		}
		So(throttle, ShouldEqual, minThrottle)
	})
}
