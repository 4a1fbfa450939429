package cell

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/pacing"
	"cactuswall.example/cactuswall/internal/pressure"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// loadRise is the rise of a service's utilization for which placing leaves room: its load swings while a
	// filling task of some seconds runs.
	loadRise = 0.03
	// settled is how long a run must have worked for its figure to show its processor time.
	settledFigure = 700 * time.Millisecond
	// leastPace is the pace at which a filling task must at least be able to run where it is placed.
	leastPace = 0.9
	// boldness is the part of a coefficient's deviation that placing adds to it.
	boldness = 0.5
)

// learnServices takes in what a report says of services and of what fills beside them.
func (c *Cell) learnServices(w *worker) {
	shares := pressure.Shares{}
	for _, r := range w.runs {
		if r.task.group.step.Fills && r.state == runRunning {
			shares[r.task.group.step.Image] += float64(r.milliCPU) / float64(max(1, w.info.Capacity.MilliCPU))
		}
	}
	for _, r := range w.runs {
		step := r.task.group.step
		if step.TargetTail == 0 || r.state != runRunning || r.percent < fullPace || r.tail <= 0 {
			continue
		}
		reading := c.pressures.Observe(pressure.Source{
			Image: step.Image, Group: jobrecord.GroupKey(r.task.group.id), Task: r.task.id.Key(),
		}, r.tail, shares, c.now)
		r.reading = &reading
		switch {
		case r.tail < step.TargetTail:
			r.over = 0
		case r.over == 0:
			r.over = c.now
		}
	}
}

// overFor is how long a service has been over its target, as a share of the time for which it may be.
func (c *Cell) overFor(r *run) float64 {
	if r.over == 0 || c.settings.Harm == 0 {
		return 0
	}
	return float64(c.now-r.over+figureAge) / float64(c.settings.Harm)
}

// figureAge is how much earlier than its report a figure may have passed its target.
const figureAge = 400 * time.Millisecond

// paceWorker decides the paces of what fills on a worker.
func (c *Cell) paceWorker(w *worker, orders *Orders) {
	services := c.services(w)
	var runs []*run
	var fillers []pacing.Filler
	for _, r := range w.sortedRuns() {
		if r.task.group.step.Fills && r.state == runRunning && !r.stop {
			runs = append(runs, r)
			fillers = append(fillers, c.filler(w, r))
		}
	}
	for i, pace := range pacing.Paces(services, fillers, c.pressures.Pressure) {
		r := runs[i]
		if pace == r.pace {
			continue
		}
		c.log.Info("pace", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
			zap.Int("percent", pace), zap.Int("before", r.pace), zap.Duration("report_age", c.now-w.reported))
		r.pace = pace
		switch {
		case pace > crawlPace:
			r.slow = 0
		case r.slow == 0:
			r.slow = c.now
		}
		orders.Paces = append(orders.Paces, PaceOrder{
			To: w.target(), Run: workercall.Run{Task: r.task.id, Number: r.number}, Percent: pace, Token: c.token,
		})
	}
}

func (c *Cell) services(w *worker) []pacing.Service {
	var services []pacing.Service
	for _, r := range w.sortedRuns() {
		step := r.task.group.step
		if step.TargetTail > 0 && r.reading != nil && r.state == runRunning {
			services = append(services, pacing.Service{
				Image: step.Image, Utilization: r.reading.Utilization, Own: r.reading.Own, OverFor: c.overFor(r), Limit: c.pressures.Limit(step.Image, step.TargetTail),
			})
		}
	}
	return services
}

// filler describes a filling run. Until its figure shows its processor time, what it asked for counts.
func (c *Cell) filler(w *worker, r *run) pacing.Filler {
	size := float64(max(1, w.info.Capacity.MilliCPU))
	full := float64(r.task.group.step.Request.MilliCPU) / size
	return pacing.Filler{Image: r.task.group.step.Image, AtFull: full, Pace: r.pace}
}

// headroom is how much processor time, as a share of the worker's, a filling task of an image may use there before a
// service comes near its limit.
func (c *Cell) headroom(w *worker, image string) float64 {
	headroom := 1.0
	for _, r := range w.runs {
		serving := r.task.group.step
		if serving.TargetTail == 0 || r.reading == nil {
			continue
		}
		p := c.expectedPressure(serving.Image, image)
		if p <= 0 {
			continue
		}
		free := c.pressures.Limit(serving.Image, serving.TargetTail) - r.reading.Utilization - loadRise - c.coming(w, serving.Image)
		headroom = min(headroom, free/p)
	}
	return headroom
}

// expectedPressure is the coefficient of a pair that placing counts with.
func (c *Cell) expectedPressure(service, filler string) float64 {
	mean, deviation := c.pressures.Pressure(service, filler)
	return mean + boldness*deviation
}

// mismatch tells how differently a service of an image and the services on a worker mind what fills.
func (c *Cell) mismatch(w *worker, image string) float64 {
	total, count := 0.0, 0
	for _, r := range w.runs {
		if serving := r.task.group.step; serving.TargetTail > 0 {
			total += c.pressures.Dissimilarity(image, serving.Image)
			count++
		}
	}
	return total / float64(max(1, count))
}

// coming is the utilization that filling runs will press on a service which its newest figure does not show yet.
func (c *Cell) coming(w *worker, service string) float64 {
	coming := 0.0
	size := float64(max(1, w.info.Capacity.MilliCPU))
	for _, r := range w.runs {
		if step := r.task.group.step; step.Fills && (r.state != runRunning || c.now-r.began < settledFigure) {
			mean, _ := c.pressures.Pressure(service, step.Image)
			coming += mean * float64(step.Request.MilliCPU) / size
		}
	}
	return coming
}

// mayFill tells whether a filling task may be placed on a worker without harm to the services there.
func (c *Cell) mayFill(f *floor, i int, step *jobs.Step) bool {
	known := f.headroom[step.Image]
	if known == nil {
		known = make([]float64, len(f.rows))
		for k, w := range f.rows {
			known[k] = c.headroom(w, step.Image)
		}
		f.headroom[step.Image] = known
	}
	return known[i] >= f.share(i, step)*leastPace
}

// share is the processor time that a task of a step uses on a worker, as a share of the worker's.
func (f *floor) share(i int, step *jobs.Step) float64 {
	return float64(step.Request.MilliCPU) / float64(max(1, f.rows[i].info.Capacity.MilliCPU))
}

// pressOn takes a filling task that is to run on a worker out of what other filling tasks may use there. Images that
// press on different services are not told apart, which errs on the careful side for one plan.
func (c *Cell) pressOn(f *floor, i int, step *jobs.Step) {
	pressing := 0.0
	for _, r := range f.rows[i].runs {
		if serving := r.task.group.step; serving.TargetTail > 0 {
			mean, _ := c.pressures.Pressure(serving.Image, step.Image)
			pressing = max(pressing, mean)
		}
	}
	for _, headroom := range f.headroom {
		headroom[i] -= min(1, pressing) * f.share(i, step)
	}
}
