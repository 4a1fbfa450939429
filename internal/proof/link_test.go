package proof

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/standin"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// process is what one process of a node can be made to suffer from outside.
type process struct {
	name string
	net  *network

	mu     sync.Mutex
	paused chan struct{}
	// dead is closed when the process is killed, done when the node has returned.
	dead    chan struct{}
	done    chan struct{}
	once    sync.Once
	cancel  context.CancelFunc
	sockets []*listener
}

// kill ends the process at once.
func (p *process) kill() {
	p.once.Do(func() {
		close(p.dead)
		for _, l := range p.sockets {
			l.abort()
		}
		p.cancel()
	})
}

// wait holds a call back while the process is paused. It returns false once the process is dead.
func (p *process) wait() bool {
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

var errDead = verdict.New(verdict.NotRun, "process_dead", nil)

type outcome[T any] struct {
	value T
	err   error
}

// call carries one call from the process to a party. A request that is under way takes effect even when
// the process has given it up or has died meanwhile, as on a real network.
func call[T any](ctx context.Context, p *process, to string, f func() (T, error)) (T, error) {
	var zero T
	if !p.wait() {
		return zero, errDead
	}
	lost, delay, _ := p.net.state(p.name, to)
	replies := make(chan outcome[T], 1)
	go func() {
		time.Sleep(delay)
		if lost {
			p.net.waitMended(p.name, to, ctx.Done())
			replies <- outcome[T]{err: verdict.New(verdict.MayHaveRun, "request_lost", nil)}
			return
		}
		value, err := f()
		if replyLost, _, _ := p.net.state(to, p.name); replyLost {
			p.net.waitMended(to, p.name, ctx.Done())
			err = verdict.New(verdict.MayHaveRun, "reply_lost", nil)
		}
		replies <- outcome[T]{value, err}
	}()
	select {
	case r := <-replies:
		if !p.wait() {
			return zero, errDead
		}
		return r.value, r.err
	case <-ctx.Done():
		p.wait()
		return zero, verdict.New(verdict.MayHaveRun, "timeout", ctx.Err())
	}
}

const logParty, listParty = "log", "list"

// logLink is a process's way to the log.
type logLink struct {
	process *process
	log     *standin.Log
	oracle  *oracle
}

// Append implements platform.Log.
func (l logLink) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	return call(ctx, l.process, logParty, func() (platform.Offset, error) {
		offset, err := l.log.Append(context.Background(), stream, data)
		if offset != 0 {
			l.oracle.appended(stream, offset, data)
		}
		return offset, err
	})
}

// Read implements platform.Log.
func (l logLink) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	return call(ctx, l.process, logParty, func() (platform.Page, error) { return l.log.Read(ctx, stream, from, wait) })
}

// listLink is a process's way to the platform's list.
type listLink struct {
	process *process
	list    *standin.List
}

// List implements platform.VMList.
func (l listLink) List(ctx context.Context) ([]platform.VM, error) {
	return call(ctx, l.process, listParty, func() ([]platform.VM, error) { return l.list.List(ctx) })
}

// agentOf returns the agent of the worker at an address, or nil when the worker is gone.
type agentOf func(address string) *standin.Worker

// workerLink is a process's way to the agents of workers.
type workerLink struct {
	process *process
	timeout time.Duration
	agents  agentOf
	oracle  *oracle
}

func toWorker[T any](ctx context.Context, l workerLink, address string, f func(context.Context, *standin.Worker) (T, error)) (T, error) {
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

func orderWorker(ctx context.Context, l workerLink, address string, f func(context.Context, *standin.Worker) error) error {
	_, err := toWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) (struct{}, error) {
		return struct{}{}, f(ctx, w)
	})
	return err
}

// The methods below implement platform.Workers.

func (l workerLink) Fence(ctx context.Context, address string, token platform.Offset) (platform.Report, error) {
	return toWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) (platform.Report, error) {
		return w.Fence(ctx, token)
	})
}

func (l workerLink) Report(ctx context.Context, address string) (platform.Report, error) {
	return toWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) (platform.Report, error) {
		return w.Report(ctx)
	})
}

func (l workerLink) Renew(ctx context.Context, address string, req platform.RenewRequest) (platform.Report, error) {
	return toWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) (platform.Report, error) {
		return w.Renew(ctx, req)
	})
}

func (l workerLink) Start(ctx context.Context, address string, req platform.StartRequest) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error { return w.Start(ctx, req) })
}

func (l workerLink) Checkpoint(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error {
		return w.Checkpoint(ctx, token, run)
	})
}

func (l workerLink) Throttle(ctx context.Context, address string, token platform.Offset, run platform.RunID, share float64) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error {
		return w.Throttle(ctx, token, run, share)
	})
}

func (l workerLink) Resize(ctx context.Context, address string, token platform.Offset, run platform.RunID, size units.Resources) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error {
		return w.Resize(ctx, token, run, size)
	})
}

func (l workerLink) Stop(ctx context.Context, address string, token platform.Offset, run platform.RunID) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error { return w.Stop(ctx, token, run) })
}

func (l workerLink) Forget(ctx context.Context, address string, token platform.Offset, runs []platform.RunID) error {
	return orderWorker(ctx, l, address, func(ctx context.Context, w *standin.Worker) error {
		return w.Forget(ctx, token, runs)
	})
}

// httpLink is a process's way to other nodes and to endpoints over HTTP.
type httpLink struct {
	process *process
	next    http.RoundTripper
	// party returns the name of the party at an address.
	party func(address string) string
}

// RoundTrip implements http.RoundTripper.
func (l httpLink) RoundTrip(req *http.Request) (*http.Response, error) {
	if !l.process.wait() {
		return nil, errRefused
	}
	to := l.party(req.URL.Host)
	lost, delay, _ := l.process.net.state(l.process.name, to)
	time.Sleep(delay)
	if lost {
		l.process.net.waitMended(l.process.name, to, req.Context().Done())
		return nil, errRefused
	}
	resp, err := l.next.RoundTrip(req)
	if replyLost, _, _ := l.process.net.state(to, l.process.name); replyLost && err == nil {
		l.process.net.waitMended(to, l.process.name, req.Context().Done())
		_ = resp.Body.Close()
		return nil, errors.New("the reply was lost")
	}
	if !l.process.wait() && err == nil {
		_ = resp.Body.Close()
		return nil, errRefused
	}
	return resp, err
}
