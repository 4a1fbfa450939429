package node

import (
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

// lateStarts counts the start requests of one attempt that were sent to one worker with one fencing token and
// whose result is unknown. Each of them may still reach the worker. A worker that remembers the run ignores a
// repeated start, so it must not be told to forget the run before it rejects the token.
type lateStarts struct {
	worker *worker.Worker
	token  platform.Offset
	count  int
}

// sendingStart counts a start request before it is sent.
func (e *engine) sendingStart(w *worker.Worker, id platform.RunID, token platform.Offset) {
	if s := e.lateStarts[id]; s.worker == w && s.token == token {
		s.count++
		e.lateStarts[id] = s
		return
	}
	e.lateStarts[id] = lateStarts{worker: w, token: token, count: 1}
}

// answeredStart removes a start request from the count once its result is known. A request that may have run
// stays counted.
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

// mayForget reports whether no start request of a run can take effect on the worker any more.
func (e *engine) mayForget(w *worker.Worker, id platform.RunID) bool {
	s, late := e.lateStarts[id]
	return !late || s.worker != w || s.token < w.Token
}

// dropLateStarts removes the start requests with tokens older than one that the worker has accepted, since
// the worker rejects all older tokens.
func (e *engine) dropLateStarts(w *worker.Worker, token platform.Offset) {
	for id, s := range e.lateStarts {
		if s.worker == w && s.token < token {
			delete(e.lateStarts, id)
		}
	}
}
