// Package retry limits the retries of a service to a share of its requests, so that retries cannot
// amplify an outage.
package retry

import "sync"

const (
	// burst is the capacity of a budget, in retries.
	burst = 20
	// reserve is the number of retries that must remain in the budget when a hedged request takes one. A hedged
	// request is a duplicate that is sent before the first attempt has been answered.
	reserve = 10
	// DefaultPercent is the number of retries per 100 requests for a service that does not declare one.
	DefaultPercent = 10
)

// Budget is a token bucket that limits the retries of one service on one node to a share of its requests.
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burst} }

// Deposit credits the budget for one request. percent is the number of retries per 100 requests; zero means
// DefaultPercent.
func (b *Budget) Deposit(percent int) {
	if percent == 0 {
		percent = DefaultPercent
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burst, b.tokens+float64(percent)/100)
}

// Spend takes one retry from the budget. It reports whether one was left.
func (b *Budget) Spend() bool { return b.spendAbove(0) }

// SpendHedge takes one retry from the budget for a hedged request, if at least reserve retries remain
// afterwards. It reports whether it did.
func (b *Budget) SpendHedge() bool { return b.spendAbove(reserve) }

func (b *Budget) spendAbove(minRemaining float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < minRemaining+1 {
		return false
	}
	b.tokens--
	return true
}
