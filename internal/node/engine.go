package node

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/once"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/promise"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/units"
	"cactuswall.example/cactuswall/internal/worker"
)

// engine owns the tables of a node. Everything in it is used by the one goroutine of run; other
// goroutines post functions to it.
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
	// domainSnapshotAt and manifestSnapshotAt are when this node last saw or wrote a snapshot.
	domainSnapshotAt   time.Time
	manifestSnapshotAt time.Time
	forgetAt           time.Time
	promisesAskedAt    time.Time
	// committing is set once this process may write to its domain stream.
	committing bool
	// replaced says that another process has taken this node's place.
	replaced error
	// retreats holds the batch tasks that were given up while the authority had lapsed.
	retreats map[platform.RunID]time.Time
	// push asks the gossip to tell all peers at once.
	push chan struct{}
	// leavingSince is when this node first knew that each endpoint is leaving.
	leavingSince   map[string]time.Time
	domainFollower atomic.Pointer[journal.Follower]
	// peers returns a client for the node at a peer address.
	peers func(address string) peer.Peer

	// config replays the manifest stream; inForce is what the node goes by.
	config    config.State
	inForce   *config.InForce
	members   *membership.Table
	ledger    *ledger.Ledger
	owner     *ownership.Owner
	workerRow *worker.Table
	taskRow   *task.Table
	directory *endpoint.Directory
	// keys are the idempotency keys of the failure domain.
	keys       *once.Table
	keyWaiters keyWaiters
	// keysUnknownUntil is the end of the time in which keys may be in use that this node has not read.
	keysUnknownUntil time.Time
	division         division
	// callers is the number of nodes that answer callers.
	callers atomic.Int64

	vms        []platform.VM
	listReadAt time.Time
	// caughtUp is set once the domain stream has been read to its end.
	caughtUp bool
	// manifestCaughtUp is set once the manifest stream has been read to its end.
	manifestCaughtUp bool
	// logReadAt is when the domain stream last answered.
	logReadAt time.Time
	stopping  bool
	// dirty is set when a schedule may find something new to do.
	dirty   bool
	planned planned
	// withdrawals is set when the manifest may have dropped running tasks.
	withdrawals bool
	policy      scheduler.Policy
	// quotas are the teams' quotas here under the manifest of quotaVersion.
	quotas       map[string]units.Resources
	quotaVersion config.Version
	sizes        *sizing.Learner
	slowdowns    *interference.Model
	baselines    *interference.Baselines
	pressure     *interference.Controller
	outcomes     *quarantine.Table
	promises     *promise.Book
	// evicting holds the runs that wait for a checkpoint before they are stopped.
	evicting map[string]platform.RunID
	// lateStarts are the starts that may still arrive, by attempt.
	lateStarts map[platform.RunID]lateStarts
	forgets    map[*worker.Worker][]platform.RunID
	steady     map[string]steadiness
	waiters    map[string]chan decision
	rescuer    *rescuer
	views      views
}

// eventQueue bounds the functions that wait for the engine.
const eventQueue = 1024

// run is the loop of the engine.
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
		if e.replaced != nil {
			return e.replaced
		}
	}
}

// post hands a function to the engine's goroutine. It gives up when the engine has ended.
func (e *engine) post(event func(now time.Time)) bool {
	select {
	case e.events <- event:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// ask runs a function in the engine's goroutine and waits until it has run.
func (e *engine) ask(ctx context.Context, event func(now time.Time)) bool {
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

// tick runs the systems over the tables.
func (e *engine) tick(now time.Time) {
	e.divide(now)
	e.own(now)
	e.askPromises(now)
	e.noticeLeaving(now)
	e.removeAbsent(now)
	e.adoptWorkers(now)
	e.renewLeases(now)
	e.startPlaced(now)
	e.stopWithdrawn(now)
	e.pursueEvictions(now)
	e.pursueStops(now)
	e.schedule(now)
	e.flushForgets()
	e.rescuer.tick(now)
	e.writeSnapshots(now)
}

// own claims, renews and gives up shards.
func (e *engine) own(now time.Time) {
	if !e.current() {
		return
	}
	e.checkIncarnation()
	if e.domainWriter.Unsettled() == 0 {
		e.owner.SettleClaims()
	}
	live := e.members.LiveIn(e.settings.FailureDomain, now)
	if e.stopping {
		// A claim that was under way when the stop began may still be accepted.
		e.enqueueEach(e.owner.Release(live, now))
		return
	}
	stable := e.members.StableIn(e.settings.FailureDomain, now)
	e.enqueueEach(e.owner.Decide(e.ledger, ownership.Candidates{Live: live, Stable: stable}, now))
}

func (e *engine) enqueueEach(records []*record.Record) {
	for _, r := range records {
		e.domainWriter.Enqueue(r)
	}
}

// manifestChanged brings the tables in line after a new manifest has come in force.
func (e *engine) manifestChanged(now time.Time) {
	inForce := e.config.InForce()
	if inForce == e.inForce {
		return
	}
	e.inForce = inForce
	if e.manifestCaughtUp && now.Sub(inForce.Published) > promise.ConfigurationBound {
		e.promises.Break(promise.Configuration, inForce.Manifest.Release, now)
	}
	e.decide(inForce.PublicationID, decision{rejection: config.Accepted, version: inForce.Version})
	e.logger.Info("manifest in force", zap.Uint64("version", uint64(inForce.Version)), zap.String("release", inForce.Manifest.Release))
	e.members.Self().ManifestVersion = uint64(inForce.Version)
	e.syncTasks(now)
	e.publishViews(now)
}
