package standin

import "cactuswall.example/cactuswall/internal/platform"

// FailRun ends a run as failed, as when its process dies. A run that has ended is left as it is.
func (w *Worker) FailRun(id platform.RunID, message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil && !r.State.Final() {
		r.Message = message
		w.end(r, platform.RunFailed)
	}
}
