package interference

// baselineDrift raises a baseline with each observation, so that it follows a kind that has become slower.
const baselineDrift = 1.0005

// Baselines keeps the best measurement of each kind, which stands for the kind alone on a worker. Its
// methods are not safe for concurrent use.
type Baselines struct {
	best map[string]float64
}

// NewBaselines returns baselines without any measurement.
func NewBaselines() *Baselines { return &Baselines{best: make(map[string]float64)} }

// Observe takes a measurement, smaller is better, and returns by which part it exceeds the baseline.
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
