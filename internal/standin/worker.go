package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/platform/httpjson"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Truth is how a run really behaves, whatever was declared.
type Truth struct {
	RunTime time.Duration
	Usage   units.Resources
	Fails   bool
}

// Instance is a running service instance.
type Instance struct {
	Address string
	Close   func()
}

// WorkerOptions are the properties of a worker.
type WorkerOptions struct {
	ID       string
	Capacity units.Resources
	// TruthOf says how a batch run behaves. Nil: it uses its size and runs for a second.
	TruthOf func(req platform.StartRequest) Truth
	// Serve starts a service instance. Nil: service runs have no address.
	Serve func(req platform.StartRequest) (Instance, error)
	// OnRun is told of every start and end of a run, for oracles. May be nil.
	OnRun func(worker string, run platform.RunID, state platform.RunState)
	// OnEnd is told of every run that has ended, with its newest checkpoint. May be nil.
	OnEnd func(worker string, run platform.Run)
	// ReportLag is how far the reported progress and usage lag behind the truth.
	ReportLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// LatencyOf says how a service instance answers beside the other runs. Nil: its latency is not known.
	LatencyOf func(run platform.Run, others []platform.Run) time.Duration
}

// Worker stands in for the agent of one worker.
type Worker struct {
	Faults

	options WorkerOptions
	mu      sync.Mutex
	token   platform.Offset
	runs    map[platform.RunID]*run
	// failing makes every batch run fail.
	failing bool
}

type run struct {
	platform.Run
	truth      Truth
	startedAt  time.Time
	base       float64
	leaseTimer *time.Timer
	endTimer   *time.Timer
	instance   Instance
}

// NewWorker returns an idle worker.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, runs: make(map[platform.RunID]*run)}
}

var _ httpjson.Agent = (*Worker)(nil)

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.options.ID }

// FailEverything makes every batch run on the worker fail at its end.
func (w *Worker) FailEverything() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = true
}

// Fence implements httpjson.Agent.
func (w *Worker) Fence(ctx context.Context, token platform.Offset) (platform.Report, error) {
	return w.withReport(ctx, token, func() error { return nil })
}

// Report implements httpjson.Agent.
func (w *Worker) Report(ctx context.Context) (platform.Report, error) {
	if err := w.before(ctx); err != nil {
		return platform.Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report(), w.after()
}

// Renew implements httpjson.Agent.
func (w *Worker) Renew(ctx context.Context, req platform.RenewRequest) (platform.Report, error) {
	return w.withReport(ctx, req.Token, func() error {
		for _, id := range req.Runs {
			if r := w.runs[id]; r != nil && r.State == platform.RunRunning {
				r.leaseTimer.Reset(req.Lease)
			}
		}
		return nil
	})
}

// Start implements httpjson.Agent.
func (w *Worker) Start(ctx context.Context, req platform.StartRequest) error {
	return w.with(ctx, req.Token, func() error {
		if r, known := w.runs[req.Run]; known {
			if r.State == platform.RunStopped {
				return verdict.New(verdict.NotRun, platform.ReasonStopped, nil)
			}
			return nil
		}
		if !req.Size.Fits(w.options.Capacity.Sub(w.committed())) {
			return verdict.New(verdict.NotRun, platform.ReasonNoRoom, nil)
		}
		return w.begin(req)
	})
}

// begin starts a run. The caller holds the lock.
func (w *Worker) begin(req platform.StartRequest) error {
	r := &run{startedAt: time.Now(), truth: w.truthOf(req), base: progressOf(req.Checkpoint)}
	r.Run = platform.Run{ID: req.Run, State: platform.RunRunning, Size: req.Size, Throttle: 1, Checkpoint: req.Checkpoint, CheckpointProgress: r.base}
	if req.Service != "" && w.options.Serve != nil {
		instance, err := w.options.Serve(req)
		if err != nil {
			return verdict.New(verdict.NotRun, platform.ReasonNoRoom, err)
		}
		r.instance = instance
		r.Address = instance.Address
	}
	w.runs[req.Run] = r
	w.tell(req.Run, platform.RunRunning)
	r.leaseTimer = time.AfterFunc(req.Lease, func() { w.endLocked(req.Run, platform.RunLapsed) })
	if req.Service == "" {
		remaining := time.Duration(float64(r.truth.RunTime) * (1 - r.base))
		r.endTimer = time.AfterFunc(remaining, func() { w.complete(req.Run) })
	}
	return nil
}

func (w *Worker) truthOf(req platform.StartRequest) Truth {
	if w.options.TruthOf == nil {
		return Truth{RunTime: time.Second, Usage: req.Size}
	}
	return w.options.TruthOf(req)
}

// complete ends a run by itself.
func (w *Worker) complete(id platform.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	if r == nil || r.State.Final() {
		return
	}
	if r.truth.Fails || w.failing {
		r.Message = "exit status 1"
		w.end(r, platform.RunFailed)
		return
	}
	w.end(r, platform.RunFinished)
}

func (w *Worker) endLocked(id platform.RunID, state platform.RunState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil {
		w.end(r, state)
	}
}

// end makes a run final. The caller holds the lock.
func (w *Worker) end(r *run, state platform.RunState) {
	if r.State.Final() {
		return
	}
	r.Progress = r.progress(time.Now())
	r.State = state
	r.leaseTimer.Stop()
	if r.endTimer != nil {
		r.endTimer.Stop()
	}
	if r.instance.Close != nil {
		go r.instance.Close()
	}
	w.tell(r.ID, state)
	if w.options.OnEnd != nil {
		w.options.OnEnd(w.options.ID, r.Run)
	}
}

func (w *Worker) tell(id platform.RunID, state platform.RunState) {
	if w.options.OnRun != nil {
		w.options.OnRun(w.options.ID, id, state)
	}
}

// progress is the share of the work that is done at now.
func (r *run) progress(now time.Time) float64 {
	if r.endTimer == nil || r.truth.RunTime <= 0 || r.State.Final() {
		return r.Progress
	}
	return min(1, r.base+float64(now.Sub(r.startedAt))/float64(r.truth.RunTime))
}

// Checkpoint implements httpjson.Agent.
func (w *Worker) Checkpoint(ctx context.Context, token platform.Offset, id platform.RunID) error {
	return w.withRun(ctx, token, id, func(r *run) error {
		progress := r.progress(time.Now())
		if w.options.CheckpointTime == 0 {
			r.keep(progress)
			return nil
		}
		time.AfterFunc(w.options.CheckpointTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !r.State.Final() {
				r.keep(progress)
			}
		})
		return nil
	})
}

// keep confirms a checkpoint that holds a share of the work.
func (r *run) keep(progress float64) {
	r.CheckpointProgress = progress
	r.Checkpoint = checkpointName(progress)
}

// Throttle implements httpjson.Agent. The stand-in only reports the throttle.
func (w *Worker) Throttle(ctx context.Context, token platform.Offset, id platform.RunID, share float64) error {
	return w.withRun(ctx, token, id, func(r *run) error {
		r.Throttle = share
		return nil
	})
}

// Resize implements httpjson.Agent.
func (w *Worker) Resize(ctx context.Context, token platform.Offset, id platform.RunID, size units.Resources) error {
	return w.withRun(ctx, token, id, func(r *run) error {
		others := w.committed().Sub(r.Size)
		if !size.Fits(w.options.Capacity.Sub(others)) {
			return verdict.New(verdict.NotRun, platform.ReasonNoRoom, nil)
		}
		r.Size = size
		return nil
	})
}

// Stop implements httpjson.Agent. The stop of an unknown run is remembered, so that a late start is refused.
func (w *Worker) Stop(ctx context.Context, token platform.Offset, id platform.RunID) error {
	return w.with(ctx, token, func() error {
		r := w.runs[id]
		if r == nil {
			w.runs[id] = &run{Run: platform.Run{ID: id, State: platform.RunStopped}}
			return nil
		}
		w.end(r, platform.RunStopped)
		return nil
	})
}

// Forget implements httpjson.Agent.
func (w *Worker) Forget(ctx context.Context, token platform.Offset, ids []platform.RunID) error {
	return w.with(ctx, token, func() error {
		for _, id := range ids {
			if r := w.runs[id]; r != nil && r.State.Final() {
				delete(w.runs, id)
			}
		}
		return nil
	})
}

// Close ends every run, as the failure of the worker does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.end(r, platform.RunLapsed)
	}
}

// with runs effect under the lock, after the faults and the fence have let the call through.
func (w *Worker) with(ctx context.Context, token platform.Offset, effect func() error) error {
	if err := w.before(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if token < w.token {
		return verdict.New(verdict.NotRun, platform.ReasonFenced, nil)
	}
	w.token = token
	if err := effect(); err != nil {
		return err
	}
	return w.after()
}

func (w *Worker) withReport(ctx context.Context, token platform.Offset, effect func() error) (platform.Report, error) {
	var report platform.Report
	err := w.with(ctx, token, func() error {
		err := effect()
		report = w.report()
		return err
	})
	return report, err
}

func (w *Worker) withRun(ctx context.Context, token platform.Offset, id platform.RunID, effect func(*run) error) error {
	return w.with(ctx, token, func() error {
		r := w.runs[id]
		if r == nil || r.State.Final() {
			return verdict.New(verdict.NotRun, platform.ReasonUnknown, nil)
		}
		return effect(r)
	})
}

// committed sums the sizes of the runs that have not ended. The caller holds the lock.
func (w *Worker) committed() units.Resources {
	var sum units.Resources
	for _, r := range w.runs {
		if !r.State.Final() {
			sum = sum.Add(r.Size)
		}
	}
	return sum
}

// report returns the state of all runs. The caller holds the lock.
func (w *Worker) report() platform.Report {
	seen := time.Now().Add(-w.options.ReportLag)
	report := platform.Report{Worker: w.options.ID, Capacity: w.options.Capacity, Token: w.token}
	for _, r := range w.runs {
		r.Progress = max(r.base, r.progress(seen))
		r.Usage = units.Resources{}
		if !r.startedAt.After(seen) {
			r.Usage = r.truth.Usage
		}
		report.Runs = append(report.Runs, r.Run)
	}
	if w.options.LatencyOf != nil {
		for i := range report.Runs {
			report.Runs[i].Latency = w.options.LatencyOf(report.Runs[i], report.Runs)
		}
	}
	sort.Slice(report.Runs, func(a, b int) bool {
		x, y := report.Runs[a].ID, report.Runs[b].ID
		return x.Task < y.Task || (x.Task == y.Task && x.Attempt < y.Attempt)
	})
	return report
}
