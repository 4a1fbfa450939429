package cell

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/evacuation"
)

// Reasons why starts are withheld. The values are written to metrics.
const (
	withheldQueued   = "queued"   // the run was placed, and no start order was created
	withheldSending  = "sending"  // the start order was created and not sent
	withheldRepeat   = "repeat"   // the start order was not answered and is not repeated
	withheldOutdated = "outdated" // a round placed nothing because the evacuated failure domains are not known well enough
)

// SetEvacuations sets the evacuated failure domains, in which no task is started. Runs that were placed there without a start
// order are removed; those that run stay. Without a call of SetEvacuations no failure domain is evacuated.
func (c *Cell) SetEvacuations(v *evacuation.View) {
	if v == nil || v == c.evacuations {
		return
	}
	var previous evacuation.Set
	if c.evacuations != nil {
		previous = c.evacuations.Set
	}
	c.evacuations = v
	if v.Set.Equal(previous) {
		return
	}
	c.needsPlacement = true
	withdrawn := 0
	for _, w := range c.sortedWorkers() {
		if !c.evacuated(w) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.state == runPlaced && !r.stopRequested {
				c.metrics.countWithheldStart(withheldQueued)
				withdrawn++
				c.stopRun(r, stopEvacuated)
				c.stopGangRun(r.task.group, r.number)
			}
		}
	}
	c.log.Info("evacuated failure domains", zap.Strings("domains", v.Set.Domains()), zap.Int("starts_withdrawn", withdrawn))
}

// evacuated reports whether a worker belongs to an evacuated failure domain.
func (c *Cell) evacuated(w *worker) bool {
	return c.evacuations != nil && c.evacuations.Set.Contains(w.info.FailureDomain)
}

// evacuationsUsable reports whether the evacuated failure domains are known well enough to start tasks.
func (c *Cell) evacuationsUsable() bool {
	return c.evacuations == nil || c.evacuations.Usable(c.now, c.settings.MaxEvacuationAge)
}

// withholdsStart reports whether no start order may be sent to a worker because its failure domain is evacuated or may be,
// and counts that under a reason.
func (c *Cell) withholdsStart(w *worker, reason string) bool {
	if !c.evacuated(w) && c.evacuationsUsable() {
		return false
	}
	c.metrics.countWithheldStart(reason)
	return true
}

// withholdRound reports whether a round may place nothing, and has placement tried again in that case.
func (c *Cell) withholdRound() bool {
	if c.evacuationsUsable() {
		if c.withheldSince != 0 {
			c.log.Info("starts resumed", zap.Duration("after", c.now-c.withheldSince))
			c.withheldSince = 0
		}
		return false
	}
	if len(c.waiting) == 0 {
		return true
	}
	if c.withheldSince == 0 {
		c.withheldSince = c.now
		c.log.Warn("starts withheld, evacuation requests not confirmed", zap.Duration("age", c.now-c.evacuations.ConfirmedAt))
	}
	c.metrics.countWithheldStart(withheldOutdated)
	c.needsPlacement = true
	c.scheduleRetry(c.now + placementRetryInterval)
	return true
}

// withholdsRepeat reports whether the unanswered start order of a run is not repeated because of an evacuation. The run then
// waits for a report of its worker, which shows that it runs or leads to a stop order; see handleUnlistedRun.
func (c *Cell) withholdsRepeat(r *run) bool {
	if !c.evacuated(r.worker) && c.evacuationsUsable() {
		return false
	}
	if !r.repeatWithheld {
		r.repeatWithheld = true
		c.metrics.countWithheldStart(withheldRepeat)
		c.log.Info("start not repeated in an evacuated failure domain", taskField(r.task.id), zap.Int("run", r.number),
			zap.String("worker", r.worker.info.ID))
	}
	return true
}
