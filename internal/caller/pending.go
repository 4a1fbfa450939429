package caller

import (
	"sync"

	"cactuswall.example/cactuswall/internal/verdict"
)

// exchangeResult is the outcome of an exchange: a response or a failure.
type exchangeResult struct {
	response *response
	failure  *verdict.Error
}

// pendingExchange passes the result of an exchange to the attempt that waits for it. The result is delivered
// once, unless the attempt abandoned the exchange before. Each exchange has its own channel, so that a response
// reaches only the request that it belongs to. The zero value belongs to no exchange.
type pendingExchange struct {
	results chan exchangeResult
	state   *pendingState
}

type pendingState struct {
	mu        sync.Mutex
	abandoned bool
}

func newPendingExchange() pendingExchange {
	return pendingExchange{results: make(chan exchangeResult, 1), state: &pendingState{}}
}

// deliver delivers the result. It returns false if the exchange was abandoned.
func (p pendingExchange) deliver(r exchangeResult) bool {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if p.state.abandoned {
		return false
	}
	p.results <- r
	return true
}

// abandon stops waiting for the result. If the result was already delivered, it returns the result and true.
func (p pendingExchange) abandon() (exchangeResult, bool) {
	if p.state == nil {
		return exchangeResult{}, false
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	select {
	case r := <-p.results:
		return r, true
	default:
		p.state.abandoned = true
		return exchangeResult{}, false
	}
}
