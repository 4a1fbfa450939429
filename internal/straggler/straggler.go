// Package straggler tells from the progress that workers list which runs stand still and which workers are slow. It is
// pure: the time is an argument. Progress is listed in whole percent, about each second, and estimates of run times are
// rough, so a single run never speaks against a worker for being slow.
package straggler

import (
	"sort"
	"time"
)

const (
	// standsAfter is how long a run must have made no progress: two reports of a worker with work (0.8 s each).
	standsAfter = 1600 * time.Millisecond
	// standsPercent is the progress that a run must have missed by its estimate, so that long runs, which need seconds
	// for one percent, do not seem to stand.
	standsPercent = 4
	// measuredAfter is how long a run must have been followed for its speed to say something.
	measuredAfter = 700 * time.Millisecond
	// leastRuns is how many runs of a worker must have a speed for the worker to have one.
	leastRuns = 2
	// leastWorkers is how many workers must have a speed for one to be called slow beside the others.
	leastWorkers = 4
	// slowShare is the share of the middle worker's speed below which a worker is slow. Workers that are slow take
	// several times as long, estimates err by less than half on average over a worker's runs.
	slowShare = 0.45
)

// Track follows the progress of one run.
type Track struct {
	percent, first int
	began          time.Duration // when it was first listed
	changed        time.Duration // when its progress was last seen to change
	followed       bool
}

// Observe takes in the progress of the run in percent.
func (t *Track) Observe(percent int, now time.Duration) {
	switch {
	case !t.followed:
		*t = Track{percent: percent, first: percent, began: now, changed: now, followed: true}
	case percent != t.percent:
		t.percent, t.changed = percent, now
	}
}

// Progressed tells whether the run has made progress since it was first listed.
func (t *Track) Progressed() bool { return t.followed && t.percent != t.first }

// Stands tells whether the run has stood still for long, given the estimate of its whole run time and the share of its
// speed at which it is let to work, in percent.
func (t *Track) Stands(now, estimate time.Duration, pace int) bool {
	if !t.followed || pace <= 0 {
		return false
	}
	missed := estimate * standsPercent / time.Duration(pace)
	return now-t.changed > standsAfter+missed
}

// Speed is the run's speed as a share of the one that its estimate implies; ok is false until it is known.
func (t *Track) Speed(now, estimate time.Duration, pace int) (speed float64, ok bool) {
	took := now - t.began
	if !t.followed || took < measuredAfter || estimate <= 0 || pace <= 0 {
		return 0, false
	}
	progress := float64(t.percent-t.first) / float64(pace)
	return progress * float64(estimate) / float64(took), true
}

// Mean returns the mean of the speeds of a worker's runs; ok is false for so few that one wrong estimate decides.
func Mean(speeds []float64) (mean float64, ok bool) {
	if len(speeds) < leastRuns {
		return 0, false
	}
	for _, speed := range speeds {
		mean += speed
	}
	return mean / float64(len(speeds)), true
}

// Slow returns for each worker how slow it is beside the others, from 0 (not slow) to 1 (it stands), by the mean speeds
// of workers. Workers whose speed is not known are left out.
func Slow(speeds map[string]float64) map[string]float64 {
	if len(speeds) < leastWorkers {
		return nil
	}
	sorted := make([]float64, 0, len(speeds))
	for _, speed := range speeds {
		sorted = append(sorted, speed)
	}
	sort.Float64s(sorted)
	middle := sorted[len(sorted)/2]
	slow := make(map[string]float64)
	for worker, speed := range speeds {
		if speed < slowShare*middle {
			slow[worker] = 1 - speed/middle
		}
	}
	return slow
}
