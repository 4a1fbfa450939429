package node

import (
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/worker"
)

// unansweredStarts counts the start requests of one attempt that were sent to one worker with one fencing
// token and whose result is unknown. Each of them may still reach the worker. A worker that remembers the run
// ignores a repeated start, so it must not be told to forget the run before it rejects the token.
type unansweredStarts struct {
	worker *worker.Worker
	token  platform.Offset
	count  int
}

// recordStartSent counts a start request before it is sent.
func (e *engine) recordStartSent(w *worker.Worker, id platform.RunID, token platform.Offset) {
	if s := e.unansweredStarts[id]; s.worker == w && s.token == token {
		s.count++
		e.unansweredStarts[id] = s
		return
	}
	e.unansweredStarts[id] = unansweredStarts{worker: w, token: token, count: 1}
}

// recordStartResult removes a start request from the count once its result is known. A request that may have
// run stays counted.
func (e *engine) recordStartResult(w *worker.Worker, id platform.RunID, token platform.Offset, err error) {
	s := e.unansweredStarts[id]
	if verdict.Of(err) == verdict.MayHaveRun || s.worker != w || s.token != token {
		return
	}
	if s.count--; s.count == 0 {
		delete(e.unansweredStarts, id)
		return
	}
	e.unansweredStarts[id] = s
}

// canForgetRun reports whether no start request of a run can take effect on the worker any more.
func (e *engine) canForgetRun(w *worker.Worker, id platform.RunID) bool {
	s, late := e.unansweredStarts[id]
	return !late || s.worker != w || s.token < w.Token
}

// dropRejectedStarts removes the start requests with tokens older than one that the worker has accepted,
// since the worker rejects all older tokens.
func (e *engine) dropRejectedStarts(w *worker.Worker, token platform.Offset) {
	for id, s := range e.unansweredStarts {
		if s.worker == w && s.token < token {
			delete(e.unansweredStarts, id)
		}
	}
}
