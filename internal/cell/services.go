package cell

import (
	"math"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/pacing"
	"cactuswall.example/cactuswall/internal/workercall"
)

const (
	// loadMargin is the utilization of a service, from 0 to 1, that placement leaves free, because the service's load
	// varies while a best-effort task runs for some seconds.
	loadMargin = 0.03
	// minMeasuredRunTime is how long a best-effort run must have been running before the latency measurements of the
	// services beside it are taken to include its effect.
	minMeasuredRunTime = 700 * time.Millisecond
	// minPlacementSpeed is the minimum speed, as a share of full speed, that a best-effort task must reach on the
	// worker where it is placed.
	minPlacementSpeed = 0.9
	// overdueAfter is how long a best-effort task waits for a worker whose services it does not bring near their targets while
	// less than half of the capacity is in use. After that it runs beside services, and pacing alone keeps it from harming them:
	// jobs of images that press on all services would otherwise wait for as long as these run.
	overdueAfter = 8 * time.Second
	// idleJobOverdueAfter is the same for a task of a job of which nothing runs. With the time until the next placement and for
	// the start order, the job has a run within 2 s.
	idleJobOverdueAfter = 1500 * time.Millisecond
	// crowdedPace is the pace, in percent, of a run that was placed where too little CPU is unused. It takes little from the runs
	// beside it, which were more urgent.
	crowdedPace = 10
	// minUtilizationLeft is the lowest utilization to its target that a service is taken to have left when the risk of placing a
	// best-effort task beside it is computed. It is about the standard deviation of a reading.
	minUtilizationLeft = 0.04
	// almostFullPace is the measured pace, in percent, from which on a run of unknown pace needs no order to run at full speed. It
	// spares a new owner one for most runs.
	almostFullPace = 90
	// paceRepeatInterval is the minimum time between two equal pace orders for a run, and stoppedPace the measured pace, in percent,
	// below which a run stands still.
	paceRepeatInterval = 2 * time.Second
	stoppedPace        = 3
	// deviationWeight is the share of an interference coefficient's standard deviation that placement adds to its mean.
	deviationWeight = 0.5
)

// observeServices updates the learned interference coefficients from the latency of the services in a worker's report
// and the CPU use of the best-effort tasks next to them.
func (c *Cell) observeServices(w *worker) {
	if len(w.services) == 0 {
		return
	}
	var shares cpuinterference.CPUShares
	for _, r := range w.services {
		step := r.task.group.step
		// Below 100 percent of progress the service is not serving yet.
		if r.state != runRunning || r.progressPercent < fullPace || r.tailLatency <= 0 {
			continue
		}
		// The learner forgets the readings of a job that has ended, so it may take a new one before the gap is over.
		if r.reading == nil || r.task.group.job.ended || !r.reading.Overlaps(c.now) {
			if shares == nil {
				shares = w.bestEffortShares()
			}
			reading := c.interference.Observe(cpuinterference.Source{
				Image: step.Image, Group: jobrecord.GroupKey(r.task.group.id), Task: r.task.id.Key(),
			}, r.tailLatency, shares, c.now)
			r.reading = &reading
			w.utilizationLeft = nil
		}
		switch {
		case r.tailLatency < step.TargetTailLatency:
			r.overTargetSince = 0
		case r.overTargetSince == 0:
			r.overTargetSince = c.now
		}
	}
}

// bestEffortShares returns the CPU use of the running best-effort tasks on a worker.
func (w *worker) bestEffortShares() cpuinterference.CPUShares {
	shares := cpuinterference.CPUShares{}
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	for _, r := range w.bestEffort {
		if r.state == runRunning {
			shares[r.task.group.step.Image] += float64(r.milliCPU) / capacity
		}
	}
	return shares
}

// overTargetFraction returns how long a service has been over its target, including measurementDelay, divided by
// Settings.MaxOverTarget. It returns 0 for a service that is not over its target, or if MaxOverTarget is 0.
func (c *Cell) overTargetFraction(r *run) float64 {
	if r.overTargetSince == 0 || c.settings.MaxOverTarget == 0 {
		return 0
	}
	return float64(c.now-r.overTargetSince+measurementDelay) / float64(c.settings.MaxOverTarget)
}

// measurementDelay is the assumed time from when a latency exceeds its target to the first report that shows it.
const measurementDelay = 400 * time.Millisecond

// paceWorker sets the pace of each best-effort run on a worker and adds orders for those that change.
func (c *Cell) paceWorker(w *worker, orders *Orders) {
	// Short lists stay on the stack.
	var runSpace [16]*run
	var taskSpace [16]pacing.BestEffortTask
	var serviceSpace [8]pacing.Service
	runs, bestEffortTasks := runSpace[:0], taskSpace[:0]
	for _, r := range w.bestEffort {
		if r.state == runRunning && !r.stopRequested {
			runs = append(runs, r)
			bestEffortTasks = append(bestEffortTasks, c.bestEffortTask(w, r))
		}
	}
	if len(runs) == 0 {
		return
	}
	for i, pace := range pacing.Paces(c.appendServices(serviceSpace[:0], w), bestEffortTasks, c.interference.Coefficient) {
		r := runs[i]
		if r.crowded {
			pace = c.crowdedRunPace(r, pace)
		}
		if pace == r.pace && !c.paceInDoubt(r) {
			continue
		}
		if pace == fullPace && r.pace == unknownPace && r.pacedAt == 0 && r.paceOrMeasured() >= almostFullPace {
			r.setPace(fullPace)
			r.pacedAt = c.now
			continue
		}
		c.log.Info("pace", taskField(r.task.id), zap.Int("run", r.number), zap.String("worker", w.info.ID),
			zap.Int("percent", pace), zap.Int("before", r.pace), zap.Duration("report_age", c.now-w.lastReport))
		r.setPace(pace)
		r.pacedAt = c.now
		switch {
		case pace > slowPace:
			r.slowSince = 0
		case r.slowSince == 0:
			r.slowSince = c.now
		}
		orders.Paces = append(orders.Paces, PaceOrder{
			To: w.target(), Run: workercall.Run{Task: r.task.id, Number: r.number}, Percent: pace, Token: c.token(w),
		})
	}
}

// appendServices appends to services the descriptions of the services on a worker for the pacing package.
func (c *Cell) appendServices(services []pacing.Service, w *worker) []pacing.Service {
	for _, r := range w.services {
		step := r.task.group.step
		if r.reading != nil && r.state == runRunning {
			services = append(services, pacing.Service{
				Image: step.Image, Utilization: r.reading.Utilization, OwnLoad: r.reading.OwnLoad,
				OverTargetShare: c.overTargetFraction(r), MaxUtilization: c.interference.UtilizationAt(step.Image, step.TargetTailLatency),
			})
		}
	}
	return services
}

// bestEffortTask describes a best-effort run to the pacing package. At full speed the task is assumed to use the CPU
// that it requested.
func (c *Cell) bestEffortTask(w *worker, r *run) pacing.BestEffortTask {
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	full := float64(r.task.group.step.Request.MilliCPU) / capacity
	return pacing.BestEffortTask{Image: r.task.group.step.Image, FullSpeedCPUShare: full, Pace: r.paceOrMeasured()}
}

// paceOrMeasured returns the run's pace or, if it is not known, the share of its requested CPU that the worker last measured, in
// percent.
func (r *run) paceOrMeasured() int {
	if r.pace != unknownPace {
		return r.pace
	}
	return min(fullPace, r.measuredPace())
}

// measuredPace returns the CPU that the worker last measured as a share of the run's request, in percent.
func (r *run) measuredPace() int {
	return fullPace * r.milliCPU / max(1, r.task.group.step.Request.MilliCPU)
}

// paceInDoubt reports whether the worker measures that a run stands still or is much faster than its newest pace order says: an
// earlier order may have been carried out after it.
func (c *Cell) paceInDoubt(r *run) bool {
	if r.pacedAt == 0 || c.now-r.pacedAt < paceRepeatInterval || r.pace == unknownPace {
		return false
	}
	measured := r.measuredPace()
	return r.pace >= slowPace && measured < stoppedPace || measured > r.pace+fullPace/2
}

// headroom returns the share of a worker's CPU time that a new best-effort task of an image may use without bringing a
// service there within loadMargin of its utilization limit. It is at most 1, and negative if the utilization of
// a service, including unmeasuredUtilization, is already within loadMargin of its limit.
func (c *Cell) headroom(w *worker, image string) float64 {
	headroom := 1.0
	for _, r := range w.services {
		service := r.task.group.step
		if r.reading == nil {
			continue
		}
		p := c.expectedCoefficient(service.Image, image)
		if p <= 0 {
			continue
		}
		free := c.interference.UtilizationAt(service.Image, service.TargetTailLatency) - r.reading.Utilization - loadMargin -
			c.unmeasuredUtilization(w, service.Image)
		headroom = min(headroom, free/p)
	}
	return headroom
}

// expectedCoefficient returns the interference coefficient that placement assumes for a pair of images: by how much
// the utilization of the service grows per share of the worker's CPU time that best-effort tasks of the other image
// use.
func (c *Cell) expectedCoefficient(service, bestEffortImage string) float64 {
	mean, deviation := c.interference.Coefficient(service, bestEffortImage)
	return mean + deviationWeight*deviation
}

// mismatch returns how differently a service of an image and the services on a worker react to best-effort tasks, from
// 0 to 1.
func (c *Cell) mismatch(w *worker, image string) float64 {
	total := 0.0
	for _, r := range w.services {
		total += c.interference.Dissimilarity(image, r.task.group.step.Image)
	}
	return total / float64(max(1, len(w.services)))
}

// unmeasuredUtilization returns the utilization that best-effort runs are expected to add to a service and that its
// newest measurement does not include yet.
func (c *Cell) unmeasuredUtilization(w *worker, service string) float64 {
	utilization := 0.0
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	for _, r := range w.bestEffort {
		if step := r.task.group.step; r.state != runRunning || c.now-r.runningSince < minMeasuredRunTime {
			mean, _ := c.interference.Coefficient(service, step.Image)
			utilization += mean * float64(step.Request.MilliCPU) / capacity
		}
	}
	return utilization
}

// fitsBesideServices reports whether a best-effort task may be placed on a worker without pushing the services there
// over their targets.
func (c *Cell) fitsBesideServices(v *placementView, i int, step *jobs.Step) bool {
	return c.headroomAt(v, i, step.Image) >= v.cpuShare(i, step)*minPlacementSpeed
}

// headroomAt returns the headroom of an image on the worker with index i. It computes the headroom when it is first
// needed.
func (c *Cell) headroomAt(v *placementView, i int, image string) float64 {
	headroom := v.headroom[image]
	if headroom == nil {
		headroom = v.newValues()
		v.headroom[image] = headroom
	}
	if math.IsNaN(headroom[i]) {
		headroom[i] = c.headroom(v.workers[i], image)
	}
	return headroom[i]
}

// cpuShare returns the CPU time that a task of a step requests, as a share of the worker's capacity.
func (v *placementView) cpuShare(i int, step *jobs.Step) float64 {
	return float64(step.Request.MilliCPU) / float64(max(1, v.workers[i].info.Capacity.MilliCPU))
}

// reduceHeadroom reduces a worker's headroom after a best-effort task was placed there. The headroom of every image is
// reduced by the same amount, even for images that slow down other services than the placed task's image does. This
// underestimates the headroom of some images, but only in this view.
func (c *Cell) reduceHeadroom(v *placementView, i int, step *jobs.Step) {
	highest := 0.0
	for _, r := range v.workers[i].services {
		mean, _ := c.interference.Coefficient(r.task.group.step.Image, step.Image)
		highest = max(highest, mean)
	}
	for image, headroom := range v.headroom {
		headroom[i] = c.headroomAt(v, i, image) - min(1, highest)*v.cpuShare(i, step)
	}
	for _, risk := range v.risk {
		risk[i] = math.NaN()
	}
}

// riskAt returns the interference risk of a task of a step on the worker with index i; see placement.Need. Where best-effort
// tasks fit beside several services, they go beside those that are furthest from their targets, whose own load is low at the time.
func (c *Cell) riskAt(v *placementView, i int, step *jobs.Step) float64 {
	risk := v.risk[step.Image]
	if risk == nil {
		risk = v.newValues()
		v.risk[step.Image] = risk
	}
	if math.IsNaN(risk[i]) {
		risk[i] = c.interferenceRisk(v.workers[i], step.Image)
	}
	return risk[i] * v.cpuShare(i, step)
}

// interferenceRisk returns the interference risk of an image on a worker for each share of the worker's CPU time that a task
// uses.
func (c *Cell) interferenceRisk(w *worker, image string) float64 {
	if len(w.services) == 0 {
		return 0
	}
	c.updateUtilizationLeft(w)
	risk := 0.0
	for k, r := range w.services {
		if r.reading != nil {
			mean, _ := c.interference.Coefficient(r.task.group.step.Image, image)
			risk += mean / w.utilizationLeft[k]
		}
	}
	return risk
}

// updateUtilizationLeft computes worker.utilizationLeft if something has changed since.
func (c *Cell) updateUtilizationLeft(w *worker) {
	if w.utilizationLeft != nil {
		return
	}
	w.utilizationLeft = make([]float64, len(w.services))
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	for k, r := range w.services {
		if r.reading == nil {
			continue
		}
		step := r.task.group.step
		left := c.interference.UtilizationAt(step.Image, step.TargetTailLatency) - r.reading.OwnLoad
		for _, beside := range w.bestEffort {
			mean, _ := c.interference.Coefficient(step.Image, beside.task.group.step.Image)
			left -= mean * float64(beside.expectedCPU()) / capacity
		}
		w.utilizationLeft[k] = max(minUtilizationLeft, left)
	}
}
