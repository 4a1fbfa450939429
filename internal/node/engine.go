package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// engine holds the state of a node. Unless noted otherwise, its fields are accessed only by the goroutine
// that executes run; other goroutines send it functions with post or runAndWait.
type engine struct {
	settings settings.Settings
	self     ledger.Writer
	workers  platform.Workers
	logger   *zap.Logger
	metrics  *engineMetrics

	events chan func(now time.Time)
	ctx    context.Context

	domainWriter   *journal.Writer
	manifestWriter *journal.Writer

	domainReplay   *journal.Replay
	manifestReplay *journal.Replay
	// domainSnapshotAt and manifestSnapshotAt are the times at which this node last read or wrote a
	// snapshot of each stream.
	domainSnapshotAt   time.Time
	manifestSnapshotAt time.Time
	// lastCleanupAt is the time of the last search for tasks that can be removed from the ledger.
	lastCleanupAt            time.Time
	claimPromisesRequestedAt time.Time
	// mayWriteDomain is set once this process is allowed to write to its domain stream.
	mayWriteDomain bool
	// replacedErr is the error that run returns once another process has taken over this node's identity.
	replacedErr error
	// lapsedTasks holds the lapsed runs, with the time at which each lapsed: the batch runs whose leases this
	// node stopped renewing because its claim on their worker's shard had lapsed.
	lapsedTasks map[platform.RunID]time.Time
	// pushRequests signals the gossip loop to exchange with all peers immediately.
	pushRequests chan struct{}
	// leavingSince maps the ID of each leaving endpoint to the time at which this node learned of it.
	leavingSince   map[string]time.Time
	domainFollower atomic.Pointer[journal.Follower]
	// peers returns a client for the node at a peer address.
	peers func(address string) peer.Peer

	// config is the state replayed from the manifest stream; activeManifest is the manifest that this node
	// has applied.
	config         config.State
	activeManifest *config.ActiveManifest
	evacuation     evacuation
	// evacuationTransfers transfers waiting tasks to other failure domains while this one is evacuated.
	evacuationTransfers *evacuationTransfers
	members             *membership.Table
	ledger              *ledger.Ledger
	owner               *ownership.Owner
	// workerTable and taskTable are the tables of all workers and tasks of the failure domain.
	workerTable *worker.Table
	taskTable   *task.Table
	directory   *endpoint.Directory
	// keys are the idempotency keys of the failure domain.
	keys       *idempotency.Table
	keyWaiters keyWaiters
	// keysUnknownUntil is the time until which idempotency keys may be in use that this node has not read.
	keysUnknownUntil time.Time
	shares           shareState
	// callerNodes is the number of nodes that serve callers. It may be read from any goroutine.
	callerNodes atomic.Int64

	vms        []platform.VM
	listReadAt time.Time
	// caughtUp is set once the domain stream has been read to its end.
	caughtUp bool
	// manifestCaughtUp is set once the manifest stream has been read to its end.
	manifestCaughtUp bool
	// logReadAt is the time of the last successful read of the domain stream.
	logReadAt time.Time
	stopping  bool
	// dirty requests a scheduling pass in the next tick.
	dirty    bool
	lastPlan planState
	// recheckedAt is the time of the last reconcile.
	recheckedAt time.Time
	// mayHaveWithdrawnTasks is set when tasks that the manifest no longer declares may still be running.
	mayHaveWithdrawnTasks bool
	policy                scheduler.Policy
	// quotas maps each team to its quota in this failure domain, computed from the manifest of quotaVersion.
	quotas       map[string]units.Resources
	quotaVersion config.Version
	sizes        *sizing.Learner
	slowdowns    *interference.Model
	baselines    *interference.Baselines
	// interferenceController decides which batch runs to throttle or move when a service exceeds its latency
	// target.
	interferenceController *interference.Controller
	// workerHealth counts successes and failures by worker and by kind of task, and decides which workers are
	// quarantined.
	workerHealth *quarantine.Table
	guarantees   *guarantee.Recorder
	// evicting maps the ID of each task whose eviction waits for a checkpoint to the run to be stopped.
	evicting map[string]platform.RunID
	// unansweredStarts tracks, for each run, the start requests that may still reach the worker.
	unansweredStarts map[platform.RunID]unansweredStarts
	// pendingForgets holds the final runs that flushForgets will tell each worker to drop from its reports.
	pendingForgets map[*worker.Worker][]platform.RunID
	// stability maps the ID of each worker to the time since which its reservations have not changed.
	stability map[string]reservationStability
	// publicationWaiters maps the ID of each publication that an operator waits for on this node to the
	// channel that receives its outcome.
	publicationWaiters map[string]chan publicationResult
	// declaredAbsences holds, by worker, the absences that this node has declared.
	declaredAbsences map[string]*declaredAbsence
	// ledgerReplacedAt is when the ledger was last replaced, and with it what was known of the workers.
	ledgerReplacedAt time.Time
	failoverManager  *failoverManager
	views            views
}

// eventQueueSize bounds the functions that wait for the engine.
const eventQueueSize = 1024

// run processes posted functions and ticks until ctx ends or this process is replaced.
func (e *engine) run(ctx context.Context) error {
	ticker := time.NewTicker(e.settings.Scheduling.Tick.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-e.events:
			event(time.Now())
		case <-ticker.C:
			e.tick(time.Now())
		}
		if e.replacedErr != nil {
			return e.replacedErr
		}
	}
}

// post queues a function for the engine's goroutine. It returns false when the engine has stopped.
func (e *engine) post(event func(now time.Time)) bool {
	select {
	case e.events <- event:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// runAndWait runs a function in the engine's goroutine and waits until it has returned. It returns false
// when ctx or the engine ended first; the function may then still run.
func (e *engine) runAndWait(ctx context.Context, event func(now time.Time)) bool {
	done := make(chan struct{})
	posted := e.post(func(now time.Time) {
		event(now)
		close(done)
	})
	if !posted {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	return false
}

// tick performs the engine's periodic work in a fixed order.
func (e *engine) tick(now time.Time) {
	e.updateShares(now)
	e.updateClaims(now)
	e.requestClaimPromises(now)
	e.announceLeavingEndpoints(now)
	e.removeAbsent(now)
	e.declareAbsences(now)
	e.fenceWorkers(now)
	e.renewLeases(now)
	e.startPlaced(now)
	e.stopWithdrawn(now)
	e.advanceEvictions(now)
	e.sendStops(now)
	e.reconcile(now)
	e.schedule(now)
	e.evacuationTransfers.tick(now)
	e.flushForgets()
	e.failoverManager.tick(now)
	e.writeSnapshots(now)
}

// updateClaims claims, renews and releases shards of this node's failure domain.
func (e *engine) updateClaims(now time.Time) {
	if !e.domainStateComplete() {
		return
	}
	e.checkIncarnation()
	if e.domainWriter.UnconfirmedCount() == 0 {
		e.owner.ClearPendingClaims()
	}
	live := e.members.LiveIn(e.settings.FailureDomain, now)
	if e.stopping {
		// A claim that was in flight when the shutdown began may still be accepted, so every tick releases
		// the shards again.
		e.enqueueAll(e.owner.Release(live, now))
		return
	}
	stable := e.members.StableIn(e.settings.FailureDomain, now)
	e.enqueueAll(e.owner.Decide(e.ledger, ownership.Candidates{Live: live, Stable: stable}, now))
}

// enqueueAll appends records of the owner to the domain stream, as far as the queue takes them.
func (e *engine) enqueueAll(records []*record.Record) {
	for _, r := range records {
		if !e.domainWriter.Enqueue(r) {
			e.owner.NotSent(r)
		}
	}
}

// manifestChanged updates the tables if a newer manifest has become active.
func (e *engine) manifestChanged(now time.Time) {
	activeManifest := e.config.Active()
	if activeManifest == e.activeManifest {
		return
	}
	e.activeManifest = activeManifest
	if e.manifestCaughtUp && now.Sub(activeManifest.Published) > guarantee.MaxManifestDelay {
		e.guarantees.RecordViolation(guarantee.Configuration, activeManifest.Manifest.Release, now)
	}
	e.notifyPublisher(activeManifest.PublicationID, publicationResult{rejection: config.Accepted, version: activeManifest.Version})
	e.logger.Info("manifest in force", zap.Uint64("version", uint64(activeManifest.Version)), zap.String("release", activeManifest.Manifest.Release))
	e.members.Self().ManifestVersion = uint64(activeManifest.Version)
	e.updateEvacuation(now)
	e.syncTasks(now)
	e.publishViews(now)
}
