package caller

import (
	"sync"

	"cactuswall.example/cactuswall/internal/verdict"
)

// result is how an exchange ended.
type result struct {
	answer  *answer
	failure *verdict.Error
}

// ticket joins one attempt with its exchange. The exchange delivers once, unless the attempt was
// abandoned before; so an answer reaches only the request that it belongs to.
type ticket struct {
	mu        sync.Mutex
	abandoned bool
	results   chan result
}

func newTicket() *ticket { return &ticket{results: make(chan result, 1)} }

// deliver hands the result over. It reports false when the attempt was abandoned.
func (t *ticket) deliver(r result) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.abandoned {
		return false
	}
	t.results <- r
	return true
}

// abandon gives the attempt up. When the result was delivered already it returns it.
func (t *ticket) abandon() (result, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case r := <-t.results:
		return r, true
	default:
		t.abandoned = true
		return result{}, false
	}
}
