package node

import (
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

// lateStarts counts the starts of one attempt that were sent under a token and have no definite answer.
// Each of them may still arrive. As long as the worker remembers the run, a late start changes nothing; so
// the run must not be forgotten before the worker refuses the token.
type lateStarts struct {
	worker *worker.Worker
	token  platform.Offset
	count  int
}

// sendingStart is called before a start is sent.
func (e *engine) sendingStart(w *worker.Worker, id platform.RunID, token platform.Offset) {
	if s := e.lateStarts[id]; s.worker == w && s.token == token {
		s.count++
		e.lateStarts[id] = s
		return
	}
	e.lateStarts[id] = lateStarts{worker: w, token: token, count: 1}
}

// answeredStart is called with the result of a start.
func (e *engine) answeredStart(w *worker.Worker, id platform.RunID, token platform.Offset, err error) {
	s := e.lateStarts[id]
	if verdict.Of(err) == verdict.MayHaveRun || s.worker != w || s.token != token {
		return
	}
	if s.count--; s.count == 0 {
		delete(e.lateStarts, id)
		return
	}
	e.lateStarts[id] = s
}

// mayForget reports whether no start of a run can arrive at the worker any more.
func (e *engine) mayForget(w *worker.Worker, id platform.RunID) bool {
	s, late := e.lateStarts[id]
	return !late || s.worker != w || s.token < w.Token
}

// dropLateStarts is called when the worker has accepted a token: it refuses all older ones.
func (e *engine) dropLateStarts(w *worker.Worker, token platform.Offset) {
	for id, s := range e.lateStarts {
		if s.worker == w && s.token < token {
			delete(e.lateStarts, id)
		}
	}
}
