package pacing

import (
	"math"
	"testing"
	"time"
)

// maxOverTarget is the longest time for which a service may be over its target.
var maxOverTarget = 4 * time.Second

// loadedWorker is a worker with a service and best-effort tasks that all start at full speed, regardless of the service. The
// service's own load swings between two values within ten seconds.
type loadedWorker struct {
	low, high   float64
	tasks       int
	coefficient float64 // by which the tasks really press on the service
	known       float64 // by which they are expected to
}

const (
	limitOfService  = 0.83
	reportInterval  = 500 * time.Millisecond
	delayOfReport   = 400 * time.Millisecond
	delayOfPace     = 100 * time.Millisecond
	worldStep       = 50 * time.Millisecond
	shareOfOneTask  = 0.1
	timeBesideTasks = 60 * time.Second
)

func (l *loadedWorker) ownLoad(at time.Duration) float64 {
	return l.low + (l.high-l.low)*(1-math.Cos(2*math.Pi*at.Seconds()/10))/2
}

// overTarget returns the longest time for which the service is over its target because of the tasks, and the mean pace of these.
func (l *loadedWorker) overTarget() (longest time.Duration, meanPace float64) {
	type state struct {
		utilization, own float64
		at               time.Duration
	}
	var seen []state
	paces := make([]int, l.tasks)
	for i := range paces {
		paces[i] = FullSpeed
	}
	effective, sum := append([]int(nil), paces...), 0.0
	orders := map[time.Duration][]int{}
	var over, overSince time.Duration
	for now := time.Duration(0); now < timeBesideTasks; now += worldStep {
		if order := orders[now]; order != nil {
			effective = order
		}
		pressed := 0.0
		for _, pace := range effective {
			pressed += l.coefficient * shareOfOneTask * float64(pace) / FullSpeed
			sum += float64(pace) / float64(l.tasks)
		}
		own := l.ownLoad(now)
		seen = append(seen, state{own + pressed, own, now})
		if over += worldStep; own+pressed < limitOfService || own >= limitOfService {
			over = 0
		}
		longest = max(longest, over)
		if now%reportInterval != 0 {
			continue
		}
		s := seen[max(0, len(seen)-1-int(delayOfReport/worldStep))]
		if s.utilization < limitOfService {
			overSince = 0
		} else if overSince == 0 {
			overSince = max(now, 1)
		}
		service := Service{Image: "s", Utilization: s.utilization, OwnLoad: s.own, MaxUtilization: limitOfService}
		if overSince > 0 {
			service.OverTargetShare = float64(now-overSince+delayOfReport) / float64(maxOverTarget)
		}
		tasks := make([]BestEffortTask, l.tasks)
		for i := range tasks {
			tasks[i] = BestEffortTask{Image: "pressing", FullSpeedCPUShare: shareOfOneTask, Pace: paces[i]}
		}
		paces = Paces([]Service{service}, tasks, func(_, _ string) (float64, float64) { return l.known, 0.05 })
		orders[now+delayOfPace] = paces
	}
	return longest, sum * float64(worldStep) / float64(timeBesideTasks)
}

// Guards against HARM: best-effort tasks that start beside services regardless of their targets, since they have waited for
// long, keep a service over its target for longer than it may be.
func TestServicesKeepTargetsBesideOverdueTasks(t *testing.T) {
	allStopped := reportInterval + delayOfPace + time.Duration(stopAllAfter*maxOverTarget.Seconds()*float64(time.Second))
	for _, load := range []struct {
		situation string
		low, high float64
	}{
		{"far from its target", 0.4, 0.5}, {"near its target", 0.78, 0.78}, {"swinging up to its target", 0.5, 0.82},
		{"over its target at the peak by itself", 0.6, 0.9},
	} {
		for _, tasks := range []int{1, 3, 8} {
			for _, coefficient := range []float64{0.1, 0.6, 1.5} {
				for _, error := range []float64{1, 0.7} {
					l := loadedWorker{low: load.low, high: load.high, tasks: tasks, coefficient: coefficient, known: coefficient * error}
					longest, pace := l.overTarget()
					if longest > allStopped {
						t.Errorf("service %s, %d tasks that press by %v, known as %.2f: over its target for %v at a mean pace of %.0f",
							load.situation, tasks, coefficient, l.known, longest, pace)
					}
				}
			}
		}
	}
}
