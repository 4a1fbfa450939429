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
	// base and middle are earlier reports; the speed is measured from base to last.
	base, middle, last report
	seen               bool
}

// report is the progress of a run, in percent, at a time.
type report struct {
	percent int
	at      time.Duration
}

// Observe adds a report, or the start of a run with 0 percent.
func (p *Progress) Observe(percent int, at time.Duration) {
	r := report{percent: percent, at: at}
	if !p.seen || percent < p.last.percent {
		p.base, p.middle, p.last, p.seen = r, r, r, true
		return
	}
	p.last = r
	if at-p.middle.at >= progressWindow {
		p.base, p.middle = p.middle, r
	}
}

// Remaining returns the time until the run has made its progress at its present speed. known is false if the reports do
// not tell, in particular as long as they name no progress.
func (p *Progress) Remaining(now time.Duration) (remaining time.Duration, known bool) {
	span := p.last.at - p.base.at
	if !p.seen || span < minProgressSpan || p.last.percent <= 0 || p.last.percent >= fullPercent {
		return 0, false
	}
	// Percentages are rounded down. One more percent is the benefit of the doubt.
	gained := p.last.percent - p.base.percent + 1
	remaining = time.Duration(float64(fullPercent-p.last.percent) / float64(gained) * float64(span))
	return max(0, remaining-(now-p.last.at)), true
}
