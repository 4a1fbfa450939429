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
// abandoned before; so an answer reaches only the request that it belongs to. The zero ticket belongs to
// no exchange.
type ticket struct {
	results chan result
	state   *ticketState
}

type ticketState struct {
	mu        sync.Mutex
	abandoned bool
}

func newTicket() ticket { return ticket{results: make(chan result, 1), state: &ticketState{}} }

// deliver hands the result over. It reports false when the attempt was abandoned.
func (t ticket) deliver(r result) bool {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if t.state.abandoned {
		return false
	}
	t.results <- r
	return true
}

// abandon gives the attempt up. When the result was delivered already it returns it.
func (t ticket) abandon() (result, bool) {
	if t.state == nil {
		return result{}, false
	}
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	select {
	case r := <-t.results:
		return r, true
	default:
		t.state.abandoned = true
		return result{}, false
	}
}
