package fake

import "cactuswall.example/cactuswall/internal/platform"

// FailRun ends a run as failed, as if its process had died. It does nothing if the run is unknown or has ended.
func (w *Worker) FailRun(id platform.RunID, message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil && !r.State.Final() {
		r.Message = message
		w.end(r, platform.RunFailed)
	}
}
