package straggler

import "time"

const (
	// progressWindow is the shortest time over which the speed of a run is measured once it has run for that long. Up to
	// twice that time counts, so that a run whose worker has become slow is judged by its present speed.
	progressWindow = 2 * time.Second
	// minProgressSpan is the shortest time over which the speed of a run is measured at all.
	minProgressSpan = 400 * time.Millisecond
	fullPercent     = 100
)

// Progress measures the speed of a run from the progress that its worker reports. The zero value has seen no report.
type Progress struct {
	// The speed is measured from the report at baseAt to that at lastAt; the one at middleAt is the next base.
	baseAt, middleAt, lastAt time.Duration
	base, middle, last       int16 // progress in percent
	seen                     bool
}

// Observe adds a report, or the start of a run with 0 percent.
func (p *Progress) Observe(percent int, at time.Duration) {
	reported := int16(max(0, min(fullPercent, percent)))
	if !p.seen || reported < p.last {
		*p = Progress{baseAt: at, middleAt: at, lastAt: at, base: reported, middle: reported, last: reported, seen: true}
		return
	}
	p.last, p.lastAt = reported, at
	if at-p.middleAt >= progressWindow {
		p.base, p.baseAt, p.middle, p.middleAt = p.middle, p.middleAt, reported, at
	}
}

// Remaining returns the time until the run has made its progress at its present speed. known is false if the reports do
// not tell, in particular as long as they name no progress.
func (p *Progress) Remaining(now time.Duration) (remaining time.Duration, known bool) {
	span := p.lastAt - p.baseAt
	if span < minProgressSpan || p.last <= 0 || p.last >= fullPercent {
		return 0, false
	}
	// Percentages are rounded down. One more percent is the benefit of the doubt.
	gained := p.last - p.base + 1
	remaining = time.Duration(float64(fullPercent-p.last) / float64(gained) * float64(span))
	return max(0, remaining-(now-p.lastAt)), true
}
