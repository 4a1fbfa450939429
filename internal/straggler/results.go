package straggler

const (
	// assumedSuccess is the share of copies that are assumed to succeed first before any has ended, with the weight of
	// assumedResults results.
	assumedSuccess = 0.75
	assumedResults = 4
	// maxResults is the number of results at which their weight is halved.
	maxResults = 40
	// minSuccess is the least share that Success returns, so that clear cases are still tried and show whether it has risen.
	minSuccess = 0.2
)

// Results learns how often a copy succeeds before the run that it was started for. Where run times depend on the task and
// not on the worker, copies are as slow as the first runs, and only cost. The zero value has seen no result.
type Results struct{ won, lost float64 }

// Observe adds the result of a copy.
func (r *Results) Observe(won bool) {
	if won {
		r.won++
	} else {
		r.lost++
	}
	if r.won+r.lost > maxResults {
		r.won, r.lost = r.won/2, r.lost/2
	}
}

// Success returns the expected share of copies that succeed first.
func (r *Results) Success() float64 {
	return max(minSuccess, (r.won+assumedSuccess*assumedResults)/(r.won+r.lost+assumedResults))
}
