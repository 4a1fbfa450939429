// Package retry bounds retries, so that they cannot amplify an outage.
package retry

import "sync"

const (
	// burst is the number of retries that a service may make beyond its share.
	burst = 20
	// reserve is the part of the burst that hedging leaves to retries.
	reserve = 10
	// DefaultPercent is the share of retries of a service that declares none.
	DefaultPercent = 10
)

// Budget bounds the retries of one service on one node to a share of its requests. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Earn adds the share of one request. percent is the number of retries for each hundred requests; zero
// means DefaultPercent.
func (b *Budget) Earn(percent int) {
	if percent == 0 {
		percent = DefaultPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+float64(percent)/100)
}

// Spend takes one retry from the budget. It reports false when there is none left.
func (b *Budget) Spend() bool { return b.spendAbove(0) }

// SpendSpare takes one hedged request from what retries can spare. It reports false when there is none.
func (b *Budget) SpendSpare() bool { return b.spendAbove(reserve) }

func (b *Budget) spendAbove(kept float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < kept+1 {
		return false
	}
	b.tokens--
	return true
}
