// Package node implements a cactuswall node. A node reads the platform's VM list and the log, exchanges
// state with its peers, places tasks on the workers of its failure domain, and serves callers and operators.
// Its state is kept in tables that a single goroutine, the engine, updates.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/idempotency"
	"cactuswall.example/cactuswall/internal/interference"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/ownership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/quarantine"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/sizing"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// Listeners are the sockets on which a node accepts connections.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Options holds the settings and dependencies of a node.
type Options struct {
	Settings  settings.Settings
	Log       platform.Log
	List      platform.VMList
	Workers   platform.Workers
	Listeners Listeners
	// Endpoints and Peers are the transports for requests to endpoints and to other nodes.
	Endpoints http.RoundTripper
	Peers     http.RoundTripper
	Logger    *zap.Logger
	// Incarnation must be higher than that of every earlier process of the same node.
	Incarnation uint64
	// Metrics is the set in which metrics are registered. Nil creates a new set.
	Metrics *metrics.Set
}

// Node is a cactuswall node: an engine, the servers in front of it, and its background loops.
type Node struct {
	settings settings.Settings
	options  Options
	metrics  *metrics.Set
	intake   *intakeLimits
	engine   *engine
	caller   *caller.Handler
	cancel   context.CancelFunc
	ctx      context.Context
}

// New returns a node. Run starts it.
func New(o Options) *Node {
	set := o.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{settings: o.Settings, options: o, metrics: set, ctx: ctx, cancel: cancel}
	n.engine = newEngine(ctx, o, set)
	set.NewGauge("cactuswall_evacuations", n.engine.views.evacuations)
	n.engine.failoverManager = newFailoverManager(n.engine, o.Log, set)
	n.intake = newIntakeLimits(n)
	n.caller = caller.NewHandler(caller.Options{
		Limits:          o.Settings.Callers,
		Bodies:          n.intake.callers,
		BodyRefused:     n.intake.reporter.Refused("callers"),
		Directory:       n.engine.directory,
		Chooser:         route.Adaptive{FailureDomain: o.Settings.FailureDomain},
		Transport:       o.Endpoints,
		Metrics:         set,
		Manifest:        n.activeManifest,
		Nodes:           n.callerNodeCount,
		IdempotencyKeys: &idempotencyKeys{node: n},
	})
	return n
}

// stableLeases is the number of claim leases for which a node must have been live before shards that another
// node holds are moved to it.
const stableLeases = 2

func newEngine(ctx context.Context, o Options, set *metrics.Set) *engine {
	s := o.Settings
	self := ledger.Writer{Node: s.Node, Incarnation: o.Incarnation}
	domainStream := journal.DomainStream(s.FailureDomain)
	member := membership.Member{Node: s.Node, Incarnation: o.Incarnation, FailureDomain: s.FailureDomain, Address: s.PeerAddress, OperatorAddress: s.OperatorAddress}
	timeouts := membership.Timeouts{SuspectAfter: s.Membership.SuspectAfter.Std(), DeadAfter: s.Membership.DeadAfter.Std(), StableAfter: stableLeases * s.Scheduling.ClaimLease.Std()}
	writer := func(stream string) *journal.Writer {
		return journal.NewWriter(o.Log, stream, s.Node, o.Incarnation, journal.NewMetrics(set, stream), o.Logger)
	}
	e := &engine{
		settings:               s,
		self:                   self,
		workers:                o.Workers,
		logger:                 o.Logger,
		metrics:                newEngineMetrics(set),
		events:                 make(chan func(time.Time), eventQueueSize),
		ctx:                    ctx,
		domainWriter:           writer(domainStream),
		manifestWriter:         writer(journal.ManifestStream),
		members:                membership.NewTable(member, timeouts),
		ledger:                 ledger.New(),
		domainReplay:           journal.NewReplay(journal.NewMetrics(set, domainStream)),
		manifestReplay:         journal.NewReplay(journal.NewMetrics(set, journal.ManifestStream)),
		owner:                  ownership.NewOwner(self, s.FailureDomain, s.Scheduling.ClaimLease.Std()),
		workerTable:            worker.NewTable(),
		taskTable:              task.NewTable(),
		policy:                 policyOf(s.Scheduling.Weighing),
		sizes:                  sizing.NewLearner(),
		slowdowns:              interference.NewModel(),
		baselines:              interference.NewBaselines(),
		interferenceController: interference.NewController(),
		workerHealth:           quarantine.NewTable(quarantine.DefaultProbeBackoff),
		guarantees:             guarantee.NewRecorder(set),
		evicting:               make(map[string]platform.RunID),
		pendingForgets:         make(map[*worker.Worker][]platform.RunID),
		unansweredStarts:       make(map[platform.RunID]unansweredStarts),
		stability:              make(map[string]reservationStability),
		directory:              endpoint.NewDirectory(),
		keys:                   idempotency.NewTable(s.Callers.KeyLifetime.Std()),
		keyWaiters:             make(keyWaiters),
		shares:                 shareState{transport: o.Endpoints},
		publicationWaiters:     make(map[string]chan publicationResult),
		pushRequests:           make(chan struct{}, 1),
		lapsedTasks:            make(map[platform.RunID]time.Time),
		leavingSince:           make(map[string]time.Time),
		declaredAbsences:       make(map[string]*declaredAbsence),
		peers:                  peer.NewClients(s.PeerKey, o.Peers).At,
	}
	e.evacuationTransfers = newEvacuationTransfers(e)
	return e
}

func (n *Node) activeManifest() *manifest.Manifest {
	activeManifest := n.engine.views.activeManifest.Load()
	if activeManifest == nil {
		return nil
	}
	return activeManifest.Manifest
}

// Run serves until ctx ends and then shuts down gracefully: it reports itself as not ready, releases its
// shards, completes the requests in flight and closes its connections.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancel()
	var group run.Group
	n.add(&group, n.engine.run)
	n.add(&group, n.engine.domainWriter.Run)
	n.add(&group, n.engine.manifestWriter.Run)
	n.add(&group, n.followDomain)
	n.add(&group, n.followManifest)
	n.add(&group, n.pollVMList)
	n.add(&group, (&gossip{engine: n.engine}).run)
	n.addServer(&group, "callers", caller.WithParseErrorVerdicts(n.options.Listeners.Callers), n.settings.Callers.MaxConnections, n.caller)
	operators, peers := operator.NewHandler(n, n.metrics), peer.NewHandler(peerServer{engine: n.engine}, n.settings.PeerKey, n.metrics)
	n.addServer(&group, "operators", n.options.Listeners.Operators, maxOperatorConnections,
		n.intake.operators.Limit(operators, operator.MaxPublicationBytes, n.intake.reporter.Refused("operators")))
	n.addServer(&group, "peers", n.options.Listeners.Peers, maxPeerConnections,
		n.intake.peers.Limit(peers, peer.MaxMessageBytes, n.intake.reporter.Refused("peers")))
	group.Add(func() error { return n.awaitStop(ctx) }, func(error) { n.cancel() })
	n.options.Logger.Info("node started", zap.String("failure_domain", n.settings.FailureDomain))
	err := group.Run()
	n.options.Logger.Info("node stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// add adds an actor to the group. The actor's context ends when any member of the group returns.
func (n *Node) add(group *run.Group, actor func(context.Context) error) {
	group.Add(func() error { return actor(n.ctx) }, func(error) { n.cancel() })
}

// closeTimeout bounds the shutdown of each HTTP server.
const closeTimeout = 2 * time.Second

// ageSeconds returns the seconds since the time unixNano, or -1 when unixNano is zero.
func ageSeconds(unixNano int64) float64 {
	if unixNano == 0 {
		return -1
	}
	return time.Since(time.Unix(0, unixNano)).Seconds()
}

// listTimeout bounds one request for the VM list.
const listTimeout = 10 * time.Second

func (n *Node) fetchVMList(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return n.options.List.List(ctx)
}

// pollVMList fetches the platform's VM list once in each list period until ctx ends.
func (n *Node) pollVMList(ctx context.Context) error {
	ticker := time.NewTicker(n.settings.Membership.ListPeriod.Std())
	defer ticker.Stop()
	failures := n.metrics.GetOrCreateCounter("cactuswall_list_failures_total")
	var readAt atomic.Int64
	n.metrics.GetOrCreateGauge("cactuswall_list_age_seconds", func() float64 { return ageSeconds(readAt.Load()) })
	for {
		vms, err := n.fetchVMList(ctx)
		if err != nil {
			failures.Inc()
		} else {
			readAt.Store(time.Now().UnixNano())
			n.engine.post(func(now time.Time) {
				n.engine.applyVMList(vms, now)
				n.engine.forgetMembers(now)
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
