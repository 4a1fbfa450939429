// Package cellnode implements a node of a deployment: nodes that share one log store (see package store) and workers, which
// are divided into cells (see package cellmap). A node accepts jobs from callers and answers queries about their state.
// The node that holds the claim on a cell is its owner, which schedules the jobs of the cell on its workers.
package cellnode

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Store is the part of the platform's store that a node uses. Read waits up to wait for a record at or after from. List
// returns a page with the latest record of each key that follows the key after, or the first page if after is empty.
type Store interface {
	Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error)
	Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error)
	List(ctx context.Context, p store.Partition, after string) (store.ListPage, error)
}

// Workers sends orders to workers. token is the owner's fencing token; a worker rejects orders with a lower token than
// it has seen. SetPace limits a run to percent of its full speed. Renew extends the lease on a worker's runs and
// reports on them.
type Workers interface {
	Start(ctx context.Context, to workercall.Target, s workercall.Start) (workercall.Reply, error)
	Stop(ctx context.Context, to workercall.Target, run workercall.Run, token int64) (workercall.Reply, error)
	SetPace(ctx context.Context, to workercall.Target, run workercall.Run, percent int, token int64) (workercall.Reply, error)
	Renew(ctx context.Context, to workercall.Target, r workercall.RenewRequest) (workercall.Report, error)
}

// Topics describes the topics that the platform and the workers write, and how to decode their records.
type Topics struct {
	Config       store.Partition
	ConfigKey    string
	DecodeConfig func(value []byte) (*queue.Config, error)
	Workers      store.Partition
	DecodeWorker func(id string, value []byte) (workercall.Worker, error)
}

// CallerCodec decodes callers' requests and encodes the responses.
type CallerCodec struct {
	ParseJobID    func(text string) (jobs.ID, error)
	DecodeJob     func(body []byte) (*jobs.Spec, error)
	EncodeState   func(state jobs.State) []byte
	EncodePending func(count int) []byte
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// DeadlineHeader is the name of the header that holds the caller's timeout in milliseconds.
	DeadlineHeader string
}

// Settings are the settings of a node. The addresses have the form host:port.
type Settings struct {
	Node           string // name of the node
	FailureDomain  string
	FailureDomains []string // of the deployment; empty if they are not known
	Rank           int      // of nodes of similar capacity, one with a lower rank claims a cell earlier
	Capacity       int64    // processor capacity in thousandths of a core, 0: unknown
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string // empty: no metrics server
	MaxRecordBytes int    // maximum size of one record with its key
	MaxCallBytes   int    // maximum size of the records in one append, with their lengths
	// StopGracePeriod is the time between the platform's request to stop and its killing of the process.
	StopGracePeriod time.Duration
	Cell            cell.Settings
	Limits          Limits
}

// Platform holds the interfaces to everything outside the node.
type Platform struct {
	Store       Store
	Workers     Workers
	Topics      Topics
	CallerCodec CallerCodec
}

// Node is a node of a deployment. New creates it, and Run runs it until its context ends.
type Node struct {
	settings Settings
	platform Platform
	log      *zap.Logger
	holder   string // identifies this process in the claim
	config   *queue.ActiveConfig
	metrics  *metrics.Set
	counts   *cell.Metrics
	// ownerMetrics are shared by the owners of this process.
	ownerMetrics *ownerMetrics
	// writerID is part of the keys of job records (see nextWriter) and distinguishes this process from all others.
	writerID     string
	jobsAppender *appender.Appender
	acceptedJobs *acceptedJobs
	// jobLookups holds a value for each lookup of a job in the store that is in progress.
	jobLookups chan struct{}
	peers      *peers
	intake     *intakeLimits
	// stopping is set once the process has been asked to stop.
	stopping atomic.Bool
	// lastStoreSuccess is when the store last served a call, in nanoseconds on the clock of package boottime.
	lastStoreSuccess atomic.Int64
	// lastStoreFailure is when a call to the store last failed, on the same clock.
	lastStoreFailure atomic.Int64
	// storeUnreachable is set when an outage of the store is logged, and cleared by the next successful call.
	storeUnreachable atomic.Bool

	cells     *cellTable
	directory *directory
	loads     *loadBoard
	// operatorTopic follows the configuration and the requests of evacuations.
	operatorTopic *operatorTopic
	admission     *admission
	// membershipsMu protects memberships, which are by the number of the cell.
	membershipsMu sync.Mutex
	memberships   map[int]*membership
	// lastWriter counts the records of jobs that this process has written.
	lastWriter atomic.Int64

	// cellSettings is replaced by Reload.
	cellSettings atomic.Pointer[cell.Settings]
}

// jobsPartition holds the jobs of all cells.
var jobsPartition = store.Partition{Topic: jobrecord.JobsTopic}

// New returns a node. holder must identify this process uniquely, also among earlier and later processes of the node.
func New(s Settings, p Platform, holder string, log *zap.Logger) *Node {
	set := metrics.NewSet()
	n := &Node{
		settings: s, platform: p, log: log.With(zap.String("node", s.Node)), holder: holder,
		writerID: strconv.FormatUint(xxhash.Sum64String(holder), 36), acceptedJobs: newAcceptedJobs(),
		jobLookups: make(chan struct{}, maxJobLookups),
		config:     queue.NewActiveConfig(), metrics: set, counts: cell.NewMetrics(set),
		peers: newPeers(), directory: newDirectory(), loads: newLoadBoard(), admission: newAdmission(), memberships: make(map[int]*membership),
	}
	n.jobsAppender = n.newAppender(jobsPartition, holder, 1)
	n.intake = newIntakeLimits(s.Limits, set, n.log)
	n.cells = newCellTable(n)
	n.operatorTopic = newOperatorTopic(n)
	n.ownerMetrics = newOwnerMetrics(set, n.owners)
	n.cellSettings.Store(n.withStoreLimits(s.Cell))
	return n
}

// withStoreLimits returns settings of cells with the limits of the store.
func (n *Node) withStoreLimits(s cell.Settings) *cell.Settings {
	s.MaxRecordBytes = n.settings.MaxRecordBytes
	return &s
}

// Run runs the node until ctx ends, then hands over the cells that the node owns, and returns. It returns an error if
// the node cannot start or fails before ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("start", zap.String("holder", n.holder), zap.Int("rank", n.settings.Rank),
		zap.Int64("capacity", n.settings.Capacity), zap.String("callers", n.settings.CallerAddress), zap.String("peers", n.settings.PeerAddress))
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	var group run.Group
	for _, component := range []func(context.Context) error{
		n.jobsAppender.Run, n.restarting("follow configuration", n.followConfig), n.restarting("confirm evacuations", n.confirmEvacuations), n.restarting("follow cells", n.cells.follow),
		n.restarting("memberships", n.manageMemberships), n.restarting("exchange loads", n.exchangeLoads),
	} {
		group.Add(func() error { return component(workCtx) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(func() error { return s.serve(workCtx) }, func(error) { s.close() })
	}
	group.Add(func() error { return n.awaitStop(ctx, workCtx, servers) }, func(error) { cancel() })
	err = group.Run()
	n.log.Info("stopped", zap.Error(err))
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}
