package fake

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

// Behavior is the actual behavior of a run, which may differ from what was declared for it: its run time without
// interruption, its resource usage, and whether it fails at the end of the run time. A run of a service uses only
// Usage.
type Behavior struct {
	RunTime time.Duration
	Usage   units.Resources
	Fails   bool
}

// Instance is a running instance of a service. Address is its IP:PORT. The worker calls Close in a separate goroutine
// when the run ends; Close may be nil.
type Instance struct {
	Address string
	Close   func()
}

// WorkerOptions configures a fake worker.
type WorkerOptions struct {
	ID       string
	Capacity units.Resources
	// BehaviorOf returns the actual behavior of a run. If nil, a run uses its full size and takes one second.
	BehaviorOf func(req platform.StartRequest) Behavior
	// Serve starts a service instance. If nil, service runs have no address.
	Serve func(req platform.StartRequest) (Instance, error)
	// OnRun is called on every start and end of a run, so that tests can check invariants. The worker's lock is held,
	// so OnRun must not call the worker. May be nil.
	OnRun func(worker string, run platform.RunID, state platform.RunState)
	// OnEnd is called at the end of every run with the final state of the run, including its latest checkpoint. The
	// worker's lock is held, so OnEnd must not call the worker. May be nil.
	OnEnd func(worker string, run platform.Run)
	// ReportLag is how far the reported progress and usage lag behind the actual values.
	ReportLag time.Duration
	// CheckpointTime is how long it takes to write a checkpoint.
	CheckpointTime time.Duration
	// LatencyOf returns the latency to report for a run, given all runs on the worker including this one. If nil, no
	// latency is reported.
	LatencyOf func(run platform.Run, runs []platform.Run) time.Duration
}

// Worker is a fake of the agent on one worker.
type Worker struct {
	Faults

	options WorkerOptions
	mu      sync.Mutex
	token   platform.Offset
	runs    map[platform.RunID]*run
	// failing is set when every batch run fails at its end.
	failing bool
}

type run struct {
	platform.Run
	behavior  Behavior
	startedAt time.Time
	// startProgress is the progress held by the checkpoint that the run started from.
	startProgress float64
	leaseTimer    *time.Timer
	endTimer      *time.Timer
	instance      Instance
}

// NewWorker returns an idle worker.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, runs: make(map[platform.RunID]*run)}
}

var _ httpjson.Agent = (*Worker)(nil)

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.options.ID }

// FailBatchRuns makes every batch run on the worker fail at its end.
func (w *Worker) FailBatchRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = true
}

// Fence implements httpjson.Agent.
func (w *Worker) Fence(ctx context.Context, token platform.Offset) (platform.Report, error) {
	return w.callWithReport(ctx, token, func() error { return nil })
}

// Report implements httpjson.Agent.
func (w *Worker) Report(ctx context.Context) (platform.Report, error) {
	if err := w.beforeEffect(ctx); err != nil {
		return platform.Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.report(), w.afterEffect()
}

// Renew implements httpjson.Agent.
func (w *Worker) Renew(ctx context.Context, req platform.RenewRequest) (platform.Report, error) {
	return w.callWithReport(ctx, req.Token, func() error {
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
	return w.callFenced(ctx, req.Token, func() error {
		if r, known := w.runs[req.Run]; known {
			if r.State == platform.RunStopped {
				return verdict.New(verdict.NotRun, platform.ReasonStopped, nil)
			}
			return nil
		}
		if !req.Size.Fits(w.options.Capacity.Sub(w.committed())) {
			return verdict.New(verdict.NotRun, platform.ReasonNoCapacity, nil)
		}
		return w.startRun(req)
	})
}

// startRun starts a run. The caller must hold w.mu.
func (w *Worker) startRun(req platform.StartRequest) error {
	r := &run{startedAt: time.Now(), behavior: w.behaviorOf(req), startProgress: progressOf(req.Checkpoint)}
	r.Run = platform.Run{ID: req.Run, State: platform.RunRunning, Size: req.Size, Throttle: 1, Checkpoint: req.Checkpoint, CheckpointProgress: r.startProgress}
	if req.Service != "" && w.options.Serve != nil {
		instance, err := w.options.Serve(req)
		if err != nil {
			return verdict.New(verdict.NotRun, platform.ReasonNoCapacity, err)
		}
		r.instance = instance
		r.Address = instance.Address
	}
	w.runs[req.Run] = r
	w.notify(req.Run, platform.RunRunning)
	r.leaseTimer = time.AfterFunc(req.Lease, func() { w.endByID(req.Run, platform.RunLeaseExpired) })
	if req.Service == "" {
		remaining := time.Duration(float64(r.behavior.RunTime) * (1 - r.startProgress))
		r.endTimer = time.AfterFunc(remaining, func() { w.complete(req.Run) })
	}
	return nil
}

func (w *Worker) behaviorOf(req platform.StartRequest) Behavior {
	if w.options.BehaviorOf == nil {
		return Behavior{RunTime: time.Second, Usage: req.Size}
	}
	return w.options.BehaviorOf(req)
}

// complete ends a batch run whose run time has elapsed.
func (w *Worker) complete(id platform.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	if r == nil || r.State.Final() {
		return
	}
	if r.behavior.Fails || w.failing {
		r.Message = "exit status 1"
		w.end(r, platform.RunFailed)
		return
	}
	w.end(r, platform.RunFinished)
}

// endByID ends a run if it exists. It locks w.mu.
func (w *Worker) endByID(id platform.RunID, state platform.RunState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil {
		w.end(r, state)
	}
}

// end puts a run into a final state and stops its timers and its instance. The caller must hold w.mu.
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
	w.notify(r.ID, state)
	if w.options.OnEnd != nil {
		w.options.OnEnd(w.options.ID, r.Run)
	}
}

func (w *Worker) notify(id platform.RunID, state platform.RunState) {
	if w.options.OnRun != nil {
		w.options.OnRun(w.options.ID, id, state)
	}
}

// progress returns the fraction of the work that is done at a point in time, from 0 to 1.
func (r *run) progress(now time.Time) float64 {
	if r.endTimer == nil || r.behavior.RunTime <= 0 || r.State.Final() {
		return r.Progress
	}
	return min(1, r.startProgress+float64(now.Sub(r.startedAt))/float64(r.behavior.RunTime))
}

// Checkpoint implements httpjson.Agent.
func (w *Worker) Checkpoint(ctx context.Context, token platform.Offset, id platform.RunID) error {
	return w.callOnRun(ctx, token, id, func(r *run) error {
		progress := r.progress(time.Now())
		if w.options.CheckpointTime == 0 {
			r.saveCheckpoint(progress)
			return nil
		}
		time.AfterFunc(w.options.CheckpointTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !r.State.Final() {
				r.saveCheckpoint(progress)
			}
		})
		return nil
	})
}

// saveCheckpoint records a checkpoint that holds a fraction of the work.
func (r *run) saveCheckpoint(progress float64) {
	r.CheckpointProgress = progress
	r.Checkpoint = checkpointName(progress)
}

// Throttle implements httpjson.Agent. The throttle is reported but does not slow the run down.
func (w *Worker) Throttle(ctx context.Context, token platform.Offset, id platform.RunID, share float64) error {
	return w.callOnRun(ctx, token, id, func(r *run) error {
		r.Throttle = share
		return nil
	})
}

// Resize implements httpjson.Agent.
func (w *Worker) Resize(ctx context.Context, token platform.Offset, id platform.RunID, size units.Resources) error {
	return w.callOnRun(ctx, token, id, func(r *run) error {
		others := w.committed().Sub(r.Size)
		if !size.Fits(w.options.Capacity.Sub(others)) {
			return verdict.New(verdict.NotRun, platform.ReasonNoCapacity, nil)
		}
		r.Size = size
		return nil
	})
}

// Stop implements httpjson.Agent. The stop of an unknown run is recorded, so that a start that arrives later is
// rejected.
func (w *Worker) Stop(ctx context.Context, token platform.Offset, id platform.RunID) error {
	return w.callFenced(ctx, token, func() error {
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
	return w.callFenced(ctx, token, func() error {
		for _, id := range ids {
			if r := w.runs[id]; r != nil && r.State.Final() {
				delete(w.runs, id)
			}
		}
		return nil
	})
}

// Close ends every run, as a failure of the worker does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.end(r, platform.RunLeaseExpired)
	}
}

// callFenced runs effect with w.mu held, unless a fault prevents the call or its fencing token is older than the
// newest one that the worker has seen.
func (w *Worker) callFenced(ctx context.Context, token platform.Offset, effect func() error) error {
	if err := w.beforeEffect(ctx); err != nil {
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
	return w.afterEffect()
}

// callWithReport is callFenced that also returns a report of the state after effect.
func (w *Worker) callWithReport(ctx context.Context, token platform.Offset, effect func() error) (platform.Report, error) {
	var report platform.Report
	err := w.callFenced(ctx, token, func() error {
		err := effect()
		report = w.report()
		return err
	})
	return report, err
}

// callOnRun is callFenced for a run that has not ended. Other runs are rejected as unknown.
func (w *Worker) callOnRun(ctx context.Context, token platform.Offset, id platform.RunID, effect func(*run) error) error {
	return w.callFenced(ctx, token, func() error {
		r := w.runs[id]
		if r == nil || r.State.Final() {
			return verdict.New(verdict.NotRun, platform.ReasonUnknown, nil)
		}
		return effect(r)
	})
}

// committed returns the sum of the sizes of the runs that have not ended. The caller must hold w.mu.
func (w *Worker) committed() units.Resources {
	var sum units.Resources
	for _, r := range w.runs {
		if !r.State.Final() {
			sum = sum.Add(r.Size)
		}
	}
	return sum
}

// report returns the state of all runs. The caller must hold w.mu.
func (w *Worker) report() platform.Report {
	observedAt := time.Now().Add(-w.options.ReportLag)
	report := platform.Report{Worker: w.options.ID, Capacity: w.options.Capacity, Token: w.token}
	for _, r := range w.runs {
		r.Progress = max(r.startProgress, r.progress(observedAt))
		r.Usage = units.Resources{}
		if !r.startedAt.After(observedAt) {
			r.Usage = r.behavior.Usage
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
