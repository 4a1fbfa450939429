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
	"cactuswall.example/cactuswall/internal/httpintake"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// peerCallTimeout is the timeout of a call to the owner, of connecting to it, and of storing a record for another
	// node. It is far longer than a call between failure domains normally takes, about 10 ms.
	peerCallTimeout = 700 * time.Millisecond
	// peerIdleTimeout is how long idle connections to other nodes are kept open.
	peerIdleTimeout = 10 * time.Second
	// maxIdlePeerConnections is the maximum number of idle connections kept to each node.
	maxIdlePeerConnections = 4
	// maxPeerResponseBytes limits the body of another node's response. The largest are the loads with what was learned of
	// interference.
	maxPeerResponseBytes = 4 << 20
	// pendingCacheTTL is how long a count of pending jobs is reused. It is below 2 s, the maximum permitted age of a
	// count that is returned to a caller.
	pendingCacheTTL = time.Second
)

// peers calls owners on other nodes and caches their counts of pending jobs by queue and cell.
type peers struct {
	client *http.Client

	mu      sync.Mutex
	pending map[pendingKey]pendingCount
}

// pendingKey names a queue and a cell.
type pendingKey struct {
	queue string
	cell  int
}

// pendingCount is a count of pending jobs and the time at which the owner was asked for it.
type pendingCount struct {
	count       int
	requestedAt time.Time
}

func newPeers() *peers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerCallTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	return &peers{client: &http.Client{Transport: httpintake.LimitResponses(transport, maxPeerResponseBytes)}, pending: make(map[pendingKey]pendingCount)}
}

func (p *peers) ownerClient(address string) cellrpc.Cell {
	return cellrpc.NewCellProtobufClient("http://"+address, p.client)
}

func (p *peers) formerOwnerClient(address string) cellrpc.FormerOwner {
	return cellrpc.NewFormerOwnerProtobufClient("http://"+address, p.client)
}

func (p *peers) candidatesClient(address string) cellrpc.Candidates {
	return cellrpc.NewCandidatesProtobufClient("http://"+address, p.client)
}

// cellServer serves calls from other nodes.
type cellServer struct{ node *Node }

// Status returns the state of a job. Owner is false in the reply if this node does not own the cell.
func (s cellServer) Status(_ context.Context, r *cellrpc.StatusRequest) (*cellrpc.StatusReply, error) {
	o := s.node.ownerOf(int(r.Cell))
	if o == nil {
		return &cellrpc.StatusReply{}, nil
	}
	status, ok := o.status(jobs.ID(r.Job))
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the owner has not loaded its state or has not read the latest jobs")
	}
	return &cellrpc.StatusReply{Owner: true, Known: status.known, State: int32(status.state), Epoch: o.epoch, Elsewhere: status.elsewhere, JobCell: int32(status.cell)}, nil
}

// Pending returns the number of pending jobs of a queue. Owner is false in the reply if this node does not own the
// cell.
func (s cellServer) Pending(_ context.Context, r *cellrpc.PendingRequest) (*cellrpc.PendingReply, error) {
	o := s.node.ownerOf(int(r.Cell))
	if o == nil {
		return &cellrpc.PendingReply{}, nil
	}
	count, ok := o.pending(r.Queue)
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the owner has not loaded its state")
	}
	return &cellrpc.PendingReply{Owner: true, Count: int64(count)}, nil
}

// Accept stores a job or a cancellation for another node whose own append has failed or takes long. This node need not
// be the owner.
func (s cellServer) Accept(ctx context.Context, r *cellrpc.AcceptRequest) (*cellrpc.AcceptReply, error) {
	kind, _ := jobrecord.ParseKey(r.Key)
	if kind != jobrecord.KindJob && kind != jobrecord.KindCancel || len(r.Value) > store.MaxValueBytes(s.node.settings.MaxRecordBytes) {
		return nil, twirp.InvalidArgumentError("key", "names neither a job nor a cancellation, or the value is too large")
	}
	ctx, cancel := context.WithTimeout(ctx, combinedStoreTimeout)
	defer cancel()
	key := r.Key
	if kind == jobrecord.KindJob {
		key = jobrecord.WithWriter(key, s.node.nextWriter()) // the other node's own append may come later
	}
	err := s.node.storeRecord(ctx, store.Record{Key: key, Value: r.Value})
	if err != nil {
		s.node.log.Info("failed to store record forwarded by another node", zap.String("key", r.Key), zap.Error(err))
	}
	return &cellrpc.AcceptReply{Stored: err == nil, Refused: err != nil && verdict.Of(err) == verdict.NotRun}, nil
}
