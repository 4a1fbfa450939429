package cellnode

import (
	"sync"

	"cactuswall.example/cactuswall/internal/jobs"
)

// acceptedKept bounds the accepted jobs that a node remembers: a minute of ten times the users' heaviest traffic.
const acceptedKept = 8192

// acceptedJobs are the jobs that this process has stored last. A copy of such a request is answered without storing it
// again, so the first record keeps its time of arrival.
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
	if len(a.order) >= acceptedKept {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
	a.known[id] = true
	a.order = append(a.order, id)
}
