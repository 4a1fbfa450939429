package interference

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"cactuswall.example/cactuswall/internal/platform"
)

func TestModelLearnsPairwiseSlowdowns(t *testing.T) {
	Convey("The model distinguishes a noisy kind from a quiet one from noisy measurements with varying neighbors", t, func() {
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

// controlLoop simulates one worker whose service latency is measured with a lag.
type controlLoop struct {
	controller    *Controller
	throttles     []float64
	moved         []bool
	latencyRatios []float64
	stepCount     int
}

// latencyRatio returns the actual latency as a multiple of the target.
func (l *controlLoop) latencyRatio(slowdown float64) float64 {
	sum := 0.4
	for i, throttle := range l.throttles {
		if !l.moved[i] {
			sum += throttle * slowdown
		}
	}
	return sum
}

// advance runs the controller with the measurement from lag seconds ago and returns the current latency
// ratio.
func (l *controlLoop) advance(now time.Time, lag int, slowdown float64) float64 {
	actual := l.latencyRatio(slowdown)
	l.latencyRatios = append(l.latencyRatios, actual)
	if len(l.latencyRatios) <= lag {
		return actual
	}
	var aggressors []Aggressor
	for i, throttle := range l.throttles {
		if !l.moved[i] {
			aggressors = append(aggressors, Aggressor{Run: platform.RunID{Task: fmt.Sprint(i)}, Impact: slowdown, Throttle: throttle, Movable: true})
		}
	}
	for _, step := range l.controller.Update("w", l.latencyRatios[len(l.latencyRatios)-1-lag], aggressors, now) {
		l.stepCount++
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

func TestControllerConverges(t *testing.T) {
	for _, slowdown := range []float64{0.2, 0.35, 0.6, 1.3, 1.5} {
		Convey(fmt.Sprintf("Four noisy tasks with slowdown %v are brought below the latency target without oscillation", slowdown), t, func() {
			const lag, tasks = 2, 4
			l := &controlLoop{controller: NewController(), throttles: []float64{1, 1, 1, 1}, moved: make([]bool, tasks)}
			now := time.Unix(1000, 0)
			consecutiveOver, longestOver, totalOver := 0, 0, 0
			for range 1800 {
				if l.advance(now, lag, slowdown) > 1 {
					consecutiveOver++
					totalOver++
				} else {
					consecutiveOver = 0
				}
				longestOver = max(longestOver, consecutiveOver)
				now = now.Add(time.Second)
			}
			// At most two joint throttling steps in all, then one move for each task, with MinStepInterval
			// between steps.
			So(longestOver, ShouldBeLessThan, lag+(2+tasks)*int(MinStepInterval/time.Second))
			// Of the 1800 simulated seconds, fewer than 100 are above the target; the controller takes fewer
			// than 45 steps.
			So(totalOver, ShouldBeLessThan, 100)
			So(l.stepCount, ShouldBeLessThan, 45)
		})
	}
}

func TestThrottleBeforeMove(t *testing.T) {
	Convey("A run is throttled to minThrottle before it is moved", t, func() {
		c := NewController()
		now := time.Unix(1000, 0)
		throttle := 1.0
		for {
			steps := c.Update("w", 3, []Aggressor{{Throttle: throttle, Movable: true}}, now)
			now = now.Add(MinStepInterval)
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
