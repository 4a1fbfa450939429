package straggler

import "time"

const (
	// slowRatio times the normal run time is the expected run time from which on a run is slow. Tasks away from their data
	// take up to three times as long and are no evidence.
	slowRatio = 3.0
	// normalRatio times the normal run time is the expected run time up to which a run is normal.
	normalRatio = 1.8
	// usualRatio times the run time that most runs do not exceed is the least run time of a slow run, since the run times of some
	// kinds vary more than slowRatio on healthy workers.
	usualRatio = 1.3
	// minSlowRuns is the number of slow runs, without a normal one, from which on a worker is slow. One or two may be stragglers
	// on a healthy worker.
	minSlowRuns = 3
	// slowMemory is how long a worker counts as slow after the last evidence. Then it gets a task again, whose run shows
	// whether it still is.
	slowMemory = 8 * time.Second
)

// Pace is the speed of a run compared with that of others.
type Pace int

// The paces.
const (
	UnknownPace Pace = iota
	NormalPace
	SlowPace
)

// UsualShare is the share of the runs of a kind that defines the usual run time.
const UsualShare = 0.85

// PaceOf returns the pace of a run that is expected to take a time, or has taken it. usual returns the run time that the share
// UsualShare of the runs does not exceed.
func PaceOf(runTime, normal time.Duration, usual func() time.Duration) Pace {
	switch {
	case normal <= 0 || runTime <= 0:
		return UnknownPace
	case IsNormal(runTime, normal):
		return NormalPace
	case float64(runTime) >= slowRatio*float64(normal) && float64(runTime) >= usualRatio*float64(usual()):
		return SlowPace
	}
	return UnknownPace
}

// IsNormal reports whether a run time is that of a run that is not slow.
func IsNormal(runTime, normal time.Duration) bool { return runTime <= LongestNormal(normal) }

// LongestNormal returns the longest run time of a run that is not slow.
func LongestNormal(normal time.Duration) time.Duration {
	return time.Duration(normalRatio * float64(normal))
}

// Speed tells whether a worker is slow: all of its runs that say something are slow. The zero value is a worker of which
// nothing is known.
type Speed struct {
	slowRuns int
	slowAt   time.Duration // when the last evidence was seen
}

// Observe takes in the pace of a run. first is set for the first time that the run is slow. It reports whether the worker
// has become slow.
func (s *Speed) Observe(pace Pace, first bool, now time.Duration) (becameSlow bool) {
	switch pace {
	case NormalPace:
		s.slowRuns = 0
	case SlowPace:
		before := now < s.SlowUntil()
		s.slowAt = now
		if first {
			s.slowRuns = min(minSlowRuns, s.slowRuns+1)
		}
		return s.slowRuns >= minSlowRuns && !before
	case UnknownPace:
	}
	return false
}

// Suspect reports whether slow runs of the worker were seen since the last normal one.
func (s *Speed) Suspect() bool { return s.slowRuns > 0 }

// SlowUntil returns until when the worker counts as slow, or 0 if it does not.
func (s *Speed) SlowUntil() time.Duration {
	if s.slowRuns < minSlowRuns {
		return 0
	}
	return s.slowAt + slowMemory
}
