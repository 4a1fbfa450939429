package cellnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// peerCallTimeout is the timeout of a call to the owner, which takes about 10 ms across failure domains.
	peerCallTimeout = 700 * time.Millisecond
	// peerIdleTimeout is how long idle connections to other nodes are kept open.
	peerIdleTimeout = 10 * time.Second
	// maxIdlePeerConnections is the maximum number of idle connections kept to each node.
	maxIdlePeerConnections = 4
	// pendingCacheTTL is how long a count of pending jobs is reused. Callers accept an age of 2 s.
	pendingCacheTTL = time.Second
)

// peers calls owners on other nodes and caches their counts of pending jobs by queue.
type peers struct {
	client *http.Client

	mu      sync.Mutex
	pending map[string]pendingCount
}

type pendingCount struct {
	count  int
	readAt time.Time
}

func newPeers() *peers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerCallTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	return &peers{client: &http.Client{Transport: transport}, pending: make(map[string]pendingCount)}
}

func (p *peers) ownerClient(address string) cellrpc.Cell {
	return cellrpc.NewCellProtobufClient("http://"+address, p.client)
}

// cellServer serves calls from other nodes.
type cellServer struct{ node *Node }

// Status implements cellrpc.Cell.
func (s cellServer) Status(_ context.Context, r *cellrpc.StatusRequest) (*cellrpc.StatusReply, error) {
	o := s.node.owner.Load()
	if o == nil {
		return &cellrpc.StatusReply{}, nil
	}
	state, known, ok := o.status(jobs.ID(r.Job))
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the owner has not read all jobs")
	}
	return &cellrpc.StatusReply{Owner: true, Known: known, State: int32(state), Epoch: o.epoch}, nil
}

// Pending implements cellrpc.Cell.
func (s cellServer) Pending(_ context.Context, r *cellrpc.PendingRequest) (*cellrpc.PendingReply, error) {
	o := s.node.owner.Load()
	if o == nil {
		return &cellrpc.PendingReply{}, nil
	}
	count, ok := o.pending(r.Queue)
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the owner has not read all jobs")
	}
	return &cellrpc.PendingReply{Owner: true, Count: int64(count)}, nil
}

// Accept implements cellrpc.Cell. Any node that can reach the store may serve it, not only the owner.
func (s cellServer) Accept(ctx context.Context, r *cellrpc.AcceptRequest) (*cellrpc.AcceptReply, error) {
	kind, _ := jobrecord.ParseKey(r.Key)
	if kind != jobrecord.KindJob && kind != jobrecord.KindCancel || len(r.Value) > s.node.settings.MaxRecordBytes {
		return nil, twirp.InvalidArgumentError("key", "names neither a job nor a cancellation")
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	err := s.node.storeRecord(ctx, store.Record{Key: r.Key, Value: r.Value})
	if err != nil {
		s.node.log.Info("failed to store record forwarded by another node", zap.String("key", r.Key), zap.Error(err))
	}
	return &cellrpc.AcceptReply{Stored: err == nil, Refused: err != nil && verdict.Of(err) == verdict.NotRun}, nil
}
