package systemtest

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/fake"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// process controls one process of a node: it can be paused, resumed and killed.
type process struct {
	name string
	net  *network

	mu     sync.Mutex
	paused chan struct{}
	// dead is closed when the process is killed, done when node.Run has returned.
	dead    chan struct{}
	done    chan struct{}
	once    sync.Once
	cancel  context.CancelFunc
	sockets []*listener
}

// kill ends the process immediately.
func (p *process) kill() {
	p.once.Do(func() {
		close(p.dead)
		for _, l := range p.sockets {
			l.abort()
		}
		p.cancel()
	})
}

// waitResumed blocks while the process is paused. It returns false if the process is dead.
func (p *process) waitResumed() bool {
	for {
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		select {
		case <-p.dead:
			return false
		default:
		}
		if paused == nil {
			return true
		}
		select {
		case <-paused:
		case <-p.dead:
			return false
		}
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused != nil
}

var errProcessDead = verdict.New(verdict.NotRun, "process_dead", nil)

type callResult[T any] struct {
	value T
	err   error
}

// call sends one call from the process to a host. A request in flight takes effect even if the process has
// timed out or died in the meantime, as on a real network.
func call[T any](ctx context.Context, p *process, to string, f func() (T, error)) (T, error) {
	var zero T
	if !p.waitResumed() {
		return zero, errProcessDead
	}
	lost, delay, _ := p.net.state(p.name, to)
	replies := make(chan callResult[T], 1)
	go func() {
		time.Sleep(delay)
		if lost {
			p.net.waitRestored(p.name, to, ctx.Done())
			replies <- callResult[T]{err: verdict.New(verdict.MayHaveRun, "request_lost", nil)}
			return
		}
		value, err := f()
		if replyLost, _, _ := p.net.state(to, p.name); replyLost {
			p.net.waitRestored(to, p.name, ctx.Done())
			err = verdict.New(verdict.MayHaveRun, "reply_lost", nil)
		}
		replies <- callResult[T]{value, err}
	}()
	select {
	case r := <-replies:
		if !p.waitResumed() {
			return zero, errProcessDead
		}
		return r.value, r.err
	case <-ctx.Done():
		p.waitResumed()
		return zero, verdict.New(verdict.MayHaveRun, "timeout", ctx.Err())
	}
}

const logHost, listHost = "log", "list"

// logLink is the connection of a process to the log.
type logLink struct {
	process *process
	log     *fake.Log
	oracle  *oracle
}

// Append implements platform.Log.
func (l logLink) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	return call(ctx, l.process, logHost, func() (platform.Offset, error) {
		offset, err := l.log.Append(context.Background(), stream, data)
		if offset != 0 {
			l.oracle.appended(stream, offset, data)
		}
		return offset, err
	})
}

// Read implements platform.Log.
func (l logLink) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	return call(ctx, l.process, logHost, func() (platform.Page, error) { return l.log.Read(ctx, stream, from, wait) })
}

// listLink is the connection of a process to the platform's VM list.
type listLink struct {
	process *process
	list    *fake.VMList
}

// List implements platform.VMList.
func (l listLink) List(ctx context.Context) ([]platform.VM, error) {
	return call(ctx, l.process, listHost, func() ([]platform.VM, error) { return l.list.List(ctx) })
}

// workerLookup returns the agent of the worker at an address, or nil when the worker is gone.
type workerLookup func(address string) *fake.Worker

// workerLink is the connection of a process to the agents of workers.
type workerLink struct {
	process *process
	timeout time.Duration
	agents  workerLookup
	oracle  *oracle
}

// callWorker calls the agent of the worker at an address, with the timeout of the link.
func callWorker[T any](ctx context.Context, l workerLink, address string, f func(context.Context, *fake.Worker) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return call(ctx, l.process, address, func() (T, error) {
		agent := l.agents(address)
		if agent == nil {
			var zero T
			return zero, verdict.New(verdict.NotRun, "worker_gone", nil)
		}
		return f(context.Background(), agent)
	})
}

// commandWorker is callWorker for calls that return only an error.
func commandWorker(ctx context.Context, l workerLink, address string, f func(context.Context, *fake.Worker) error) error {
	_, err := callWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) (struct{}, error) {
		return struct{}{}, f(ctx, w)
	})
	return err
}

// The methods below implement platform.Workers.

func (l workerLink) Fence(ctx context.Context, address string, token platform.Offset) (platform.Report, error) {
	return callWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) (platform.Report, error) {
		return w.Fence(ctx, token)
	})
}

func (l workerLink) Report(ctx context.Context, address string) (platform.Report, error) {
	return callWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) (platform.Report, error) {
		return w.Report(ctx)
	})
}

func (l workerLink) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.Report, error) {
	return callWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) (platform.Report, error) {
		return w.Renew(ctx, req)
	})
}

func (l workerLink) Start(ctx context.Context, address string, req platform.StartRequest) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error { return w.Start(ctx, req) })
}

func (l workerLink) Checkpoint(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error {
		return w.Checkpoint(ctx, token, run)
	})
}

func (l workerLink) Throttle(ctx context.Context, address string, token platform.Offset, run platform.RunID, share float64) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error {
		return w.Throttle(ctx, token, run, share)
	})
}

func (l workerLink) Resize(ctx context.Context, address string, token platform.Offset, run platform.RunID, size units.Resources) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error {
		return w.Resize(ctx, token, run, size)
	})
}

func (l workerLink) Stop(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error { return w.Stop(ctx, token, run) })
}

func (l workerLink) Forget(ctx context.Context, address string, token platform.Offset, runs []platform.RunID) error {
	return commandWorker(ctx, l, address, func(ctx context.Context, w *fake.Worker) error {
		return w.Forget(ctx, token, runs)
	})
}

// httpLink is the HTTP connection of a process to other nodes and to endpoints.
type httpLink struct {
	process *process
	base    http.RoundTripper
	// hostOf returns the name of the simulated host at an address.
	hostOf func(address string) string
}

// RoundTrip implements http.RoundTripper.
func (l httpLink) RoundTrip(req *http.Request) (*http.Response, error) {
	if !l.process.waitResumed() {
		return nil, errConnectionRefused
	}
	to := l.hostOf(req.URL.Host)
	lost, delay, _ := l.process.net.state(l.process.name, to)
	time.Sleep(delay)
	if lost {
		l.process.net.waitRestored(l.process.name, to, req.Context().Done())
		return nil, errConnectionRefused
	}
	resp, err := l.base.RoundTrip(req)
	if replyLost, _, _ := l.process.net.state(to, l.process.name); replyLost && err == nil {
		l.process.net.waitRestored(to, l.process.name, req.Context().Done())
		_ = resp.Body.Close()
		return nil, errors.New("reply lost")
	}
	if !l.process.waitResumed() && err == nil {
		_ = resp.Body.Close()
		return nil, errConnectionRefused
	}
	return resp, err
}
