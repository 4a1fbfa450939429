package cellnode

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedLatency reads the time that the goroutines of the process wait, ready to run, for a thread and processor time.
// The runtime measures a sample of the waits.
type schedLatency struct {
	sample   [1]metrics.Sample
	previous []uint64 // counts of the buckets at the last call of next
}

func newSchedLatency() *schedLatency {
	s := &schedLatency{}
	s.sample[0].Name = "/sched/latencies:seconds"
	return s
}

// next returns the mean wait since the last call, or 0 if there was none or the runtime does not measure it. A wait counts
// with the lower bound of its bucket, which is at most an eighth too low.
func (s *schedLatency) next() time.Duration {
	metrics.Read(s.sample[:])
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.sample[0].Value.Float64Histogram()
	if len(s.previous) != len(h.Counts) {
		s.previous = make([]uint64, len(h.Counts))
	}
	sum, count := 0.0, uint64(0)
	for i, total := range h.Counts {
		added := total - s.previous[i]
		count += added
		if lower := h.Buckets[i]; added > 0 && !math.IsInf(lower, 0) {
			sum += float64(added) * lower
		}
	}
	copy(s.previous, h.Counts)
	if count == 0 {
		return 0
	}
	return time.Duration(sum / float64(count) * float64(time.Second))
}

// recentSchedLatency is the mean scheduling latency in the newest complete window of recentWindow.
type recentSchedLatency struct {
	source      *schedLatency
	windowStart time.Time
	mean        time.Duration
}

// at returns the latency at the given time.
func (r *recentSchedLatency) at(now time.Time) time.Duration {
	if r.source == nil {
		r.source, r.windowStart = newSchedLatency(), now
		r.source.next()
	}
	if now.Sub(r.windowStart) >= recentWindow {
		r.mean, r.windowStart = r.source.next(), now
	}
	return r.mean
}
