package interference

// baselineDrift is the factor by which a baseline grows with each observation, so that it adapts to a kind
// that has become slower.
const baselineDrift = 1.0005

// Baselines holds the smallest measurement of each kind as an approximation of its performance alone on a
// worker. The measurement is a latency for a service and the run time per unit of progress for a job. All
// measurements of a kind have the same unit, for instance seconds. Its methods are not safe for concurrent use.
type Baselines struct {
	best map[string]float64
}

// NewBaselines returns Baselines without any measurement.
func NewBaselines() *Baselines { return &Baselines{best: make(map[string]float64)} }

// Observe records a measurement, where smaller is better, and returns its slowdown relative to the baseline,
// for instance 0.5 when it is 50% above the baseline.
func (b *Baselines) Observe(kind string, measured float64) float64 {
	best, known := b.best[kind]
	best *= baselineDrift
	if !known || measured < best {
		best = measured
	}
	b.best[kind] = best
	if best <= 0 {
		return 0
	}
	return measured/best - 1
}
