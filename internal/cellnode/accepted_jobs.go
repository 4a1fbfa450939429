package cellnode

import (
	"sync"

	"cactuswall.example/cactuswall/internal/jobs"
)

// maxAcceptedJobs is the number of accepted jobs that a node remembers. At ten times the rate at which callers submit
// jobs at peak, these are the jobs of one minute.
const maxAcceptedJobs = 8192

// acceptedJobs holds the IDs of the jobs that this process stored most recently. If a caller submits one of them again,
// the request succeeds without storing the job again, so that the first record keeps its time of arrival.
type acceptedJobs struct {
	mu    sync.Mutex
	known map[jobs.ID]int // cells by job
	order []jobs.ID       // oldest first
}

func newAcceptedJobs() *acceptedJobs { return &acceptedJobs{known: make(map[jobs.ID]int)} }

// cellOf returns the cell of a job; known is false if this process has not stored the job recently.
func (a *acceptedJobs) cellOf(id jobs.ID) (cell int, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cell, known = a.known[id]
	return cell, known
}

// moved corrects the cell of a job that another node had stored before, for another cell.
func (a *acceptedJobs) moved(id jobs.ID, cell int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.known[id]; known {
		a.known[id] = cell
	}
}

func (a *acceptedJobs) add(id jobs.ID, cell int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.known[id]; known {
		return
	}
	if len(a.order) >= maxAcceptedJobs {
		delete(a.known, a.order[0])
		a.order = a.order[1:]
	}
	a.known[id] = cell
	a.order = append(a.order, id)
}
