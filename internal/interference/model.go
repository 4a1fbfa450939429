// Package interference estimates how much tasks on the same worker slow each other down, and keeps services
// within their latency target by throttling and moving batch tasks.
//
// Estimates are kept for each kind, that is, for each service or job.
package interference

import "sort"

const (
	// learningRate is the fraction of a prediction error that one observation corrects.
	learningRate = 0.3
	// regularization is added to the sum of the squared shares by which a correction is divided. It prevents
	// large corrections from observations in which the neighbors hold small shares.
	regularization = 0.05
	// maxSlowdown is the maximum relative slowdown, of a measurement and of one pair; 1 means that the victim
	// takes twice as long.
	maxSlowdown = 20
	// priorSlowdown is the estimated relative slowdown of a pair that has not been observed on the same worker;
	// 0.1 means that the victim takes 10% longer.
	priorSlowdown = 0.1
)

// pair is a kind that is slowed down, the victim, and the kind that causes it, the aggressor.
type pair struct {
	victim    string
	aggressor string
}

// Model estimates pairwise slowdowns between kinds. Its methods are not safe for concurrent use.
type Model struct {
	pairs map[pair]float64
}

// NewModel returns a Model without any observations.
func NewModel() *Model { return &Model{pairs: make(map[pair]float64)} }

// Slowdown returns the estimated relative slowdown of victim next to aggressors that use the whole worker,
// for instance 0.5 when victim takes 50% longer.
func (m *Model) Slowdown(victim, aggressor string) float64 {
	if slowdown, known := m.pairs[pair{victim, aggressor}]; known {
		return slowdown
	}
	return priorSlowdown
}

// Predict returns the estimated relative slowdown of victim next to neighbors, which maps each kind to the
// share of the worker that it uses, from 0 to 1.
func (m *Model) Predict(victim string, neighbors map[string]float64) float64 {
	total := 0.0
	for _, kind := range sortedKinds(neighbors) {
		total += m.Slowdown(victim, kind) * neighbors[kind]
	}
	return total
}

// Observe updates the model with a measured relative slowdown of victim next to neighbors. The prediction
// error is distributed among the neighbors in proportion to their shares (normalized least mean squares).
func (m *Model) Observe(victim string, neighbors map[string]float64, slowdown float64) {
	if len(neighbors) == 0 {
		return
	}
	sumOfSquares := regularization
	for _, kind := range sortedKinds(neighbors) {
		sumOfSquares += neighbors[kind] * neighbors[kind]
	}
	predictionError := min(max(slowdown, 0), maxSlowdown) - m.Predict(victim, neighbors)
	for kind, share := range neighbors {
		corrected := m.Slowdown(victim, kind) + learningRate*predictionError*share/sumOfSquares
		m.pairs[pair{victim, kind}] = min(max(corrected, 0), maxSlowdown)
	}
}

// RetainKinds removes every pair with a kind for which keep returns false.
func (m *Model) RetainKinds(keep func(kind string) bool) {
	for p := range m.pairs {
		if !keep(p.victim) || !keep(p.aggressor) {
			delete(m.pairs, p)
		}
	}
}

// sortedKinds returns the kinds in a fixed order, so that floating-point sums are reproducible.
func sortedKinds(neighbors map[string]float64) []string {
	kinds := make([]string, 0, len(neighbors))
	for kind := range neighbors {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}
