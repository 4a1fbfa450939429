package cellnode

import (
	"sync"

	"cactuswall.example/cactuswall/internal/jobs"
)

// maxAcceptedJobs is the number of accepted jobs that a node remembers. It covers one minute at ten times the callers'
// peak traffic.
const maxAcceptedJobs = 8192

// acceptedJobs holds the IDs of the jobs that this process stored most recently. If a caller submits one of them again,
// the request succeeds without storing the job again, so that the first record keeps its time of arrival.
type acceptedJobs struct {
	mu    sync.Mutex
	known map[jobs.ID]bool
	order []jobs.ID // oldest first
}

func newAcceptedJobs() *acceptedJobs { return &acceptedJobs{known: make(map[jobs.ID]bool)} }

func (a *acceptedJobs) has(id jobs.ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[id]
}

func (a *acceptedJobs) add(id jobs.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known[id] {
		return
	}
	if len(a.order) >= maxAcceptedJobs {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
	a.known[id] = true
	a.order = append(a.order, id)
}
