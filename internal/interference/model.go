// Package interference learns how much tasks slow each other on a worker, and keeps services within
// their latency target by throttling and moving batch tasks.
package interference

import "sort"

const (
	// learningRate is the part of an error that one observation corrects.
	learningRate = 0.3
	// regularisation keeps an observation with small neighbours from large corrections.
	regularisation = 0.05
	// maxSlowdown bounds what one pair is blamed for.
	maxSlowdown = 20
	// priorSlowdown is assumed of a pair that was never seen together.
	priorSlowdown = 0.1
)

// pair is a kind that suffers beside another kind.
type pair struct {
	victim    string
	aggressor string
}

// Model estimates pairwise slowdowns. Its methods are not safe for concurrent use.
type Model struct {
	pairs map[pair]float64
}

// NewModel returns a model that knows no pair.
func NewModel() *Model { return &Model{pairs: make(map[pair]float64)} }

// Slowdown returns the part by which victim is slowed beside aggressors that hold a whole worker.
func (m *Model) Slowdown(victim, aggressor string) float64 {
	if s, known := m.pairs[pair{victim, aggressor}]; known {
		return s
	}
	return priorSlowdown
}

// Predict returns the slowdown of victim beside neighbours, which hold the given shares of the worker.
func (m *Model) Predict(victim string, neighbours map[string]float64) float64 {
	total := 0.0
	for _, kind := range sortedKinds(neighbours) {
		total += m.Slowdown(victim, kind) * neighbours[kind]
	}
	return total
}

// Observe takes a measured slowdown of victim beside neighbours. The error is divided over the
// neighbours by the shares that they hold (normalised least mean squares).
func (m *Model) Observe(victim string, neighbours map[string]float64, slowdown float64) {
	if len(neighbours) == 0 {
		return
	}
	squares := regularisation
	for _, kind := range sortedKinds(neighbours) {
		squares += neighbours[kind] * neighbours[kind]
	}
	miss := min(max(slowdown, 0), maxSlowdown) - m.Predict(victim, neighbours)
	for kind, held := range neighbours {
		corrected := m.Slowdown(victim, kind) + learningRate*miss*held/squares
		m.pairs[pair{victim, kind}] = min(max(corrected, 0), maxSlowdown)
	}
}

// Keep drops the pairs with a kind that is not wanted any more.
func (m *Model) Keep(wanted func(kind string) bool) {
	for p := range m.pairs {
		if !wanted(p.victim) || !wanted(p.aggressor) {
			delete(m.pairs, p)
		}
	}
}

// sortedKinds makes sums the same on every run.
func sortedKinds(neighbours map[string]float64) []string {
	kinds := make([]string, 0, len(neighbours))
	for kind := range neighbours {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}
