// Package cellnode runs one node on a platform with a keyed log store: it accepts jobs, answers questions about them,
// and owns the cell when its claim stands.
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
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// Store is what a node needs of the platform's store.
type Store interface {
	Append(ctx context.Context, a store.Append) (store.Appended, error)
	Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error)
	List(ctx context.Context, p store.Partition, after string) (store.Listing, error)
}

// Workers gives orders to workers.
type Workers interface {
	Start(ctx context.Context, to workercall.Target, s workercall.Start) (workercall.Answer, error)
	Stop(ctx context.Context, to workercall.Target, run workercall.Run, token int64) (workercall.Answer, error)
	Pace(ctx context.Context, to workercall.Target, run workercall.Run, percent int, token int64) (workercall.Answer, error)
	Hold(ctx context.Context, to workercall.Target, h workercall.Hold) (workercall.Report, error)
}

// Documents are the topics that others write, and how to read them.
type Documents struct {
	Config       store.Partition
	ConfigKey    string
	DecodeConfig func(value []byte) (*queue.Config, error)
	Workers      store.Partition
	DecodeWorker func(id string, value []byte) (workercall.Worker, error)
}

// Wire is how callers' requests and answers are read and written.
type Wire struct {
	ParseJobID    func(text string) (jobs.ID, error)
	DecodeJob     func(body []byte) (*jobs.Spec, error)
	EncodeState   func(state jobs.State) []byte
	EncodePending func(count int) []byte
	// ReadyPath is where the platform asks whether callers may connect.
	ReadyPath string
	// DeadlineHeader holds how long a caller waits, in milliseconds.
	DeadlineHeader string
}

// Settings of a node.
type Settings struct {
	Node           string
	Rank           int // order in which nodes claim
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string // empty for none
	MaxRecordBytes int
	MaxCallBytes   int
	Grace          time.Duration // between the request to stop and the kill
	Cell           cell.Settings
}

// Platform is everything outside the node.
type Platform struct {
	Store     Store
	Workers   Workers
	Documents Documents
	Wire      Wire
}

// Node is one node.
type Node struct {
	settings Settings
	platform Platform
	log      *zap.Logger
	holder   string
	config   *queue.InForce
	metrics  *metrics.Set
	counts   *cell.Counts
	// writer tells the keys of this process's records from those of all others.
	writer   string
	accepts  *appender.Appender
	accepted *acceptedJobs
	peers    *peers
	// stopping is set once the process was asked to stop.
	stopping atomic.Bool
	// storeSeen is when the store last answered, in nanoseconds of boottime.
	storeSeen atomic.Int64
	// storeFailedAt is when a call to it failed last, on the same clock.
	storeFailedAt atomic.Int64
	// storeLost is set while the store counts as out of reach.
	storeLost atomic.Bool

	// mu guards the view of the claim.
	mu   sync.Mutex
	view *claim.View

	owner  atomic.Pointer[owner]
	bounds atomic.Pointer[cell.Settings]
}

// Partitions of the only cell.
var (
	claimsPartition   = store.Partition{Topic: jobrecord.ClaimsTopic}
	jobsPartition     = store.Partition{Topic: jobrecord.JobsTopic}
	progressPartition = store.Partition{Topic: jobrecord.ProgressTopic}
)

// New returns a node. holder names this process and no other one before or after.
func New(s Settings, p Platform, holder string, log *zap.Logger) *Node {
	set := metrics.NewSet()
	n := &Node{
		settings: s, platform: p, log: log.With(zap.String("node", s.Node)), holder: holder,
		writer: strconv.FormatUint(xxhash.Sum64String(holder), 36), accepted: newAcceptedJobs(),
		config: queue.NewInForce(), metrics: set, counts: cell.NewCounts(set),
		accepts: appender.New(p.Store, jobsPartition, holder, 1, s.MaxCallBytes),
		peers:   newPeers(), view: claim.NewView(holder, s.Node, s.Rank),
	}
	n.bounds.Store(&s.Cell)
	return n
}

// Run runs the node until ctx ends, hands over and returns.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("start", zap.String("holder", n.holder), zap.Int("rank", n.settings.Rank),
		zap.String("callers", n.settings.CallerAddress), zap.String("peers", n.settings.PeerAddress))
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	var group run.Group
	for _, system := range []func(context.Context) error{n.accepts.Run, n.followConfig, n.watchClaim, n.claimAndRenew} {
		group.Add(func() error { return system(inner) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(s.serve, func(error) { s.close() })
	}
	group.Add(func() error { return n.awaitStop(ctx, inner, servers) }, func(error) { cancel() })
	err = group.Run()
	n.log.Info("stopped", zap.Error(err))
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}
