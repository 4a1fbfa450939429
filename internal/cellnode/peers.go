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
	// peerLimit bounds a question to the owner, which takes some 10 ms across failure domains.
	peerLimit = 700 * time.Millisecond
	// peerIdle closes idle connections to other nodes.
	peerIdle = 10 * time.Second
	// peerConnections is how many idle connections to the owner are kept.
	peerConnections = 4
	// pendingAge is for how long a count of pending jobs is told again; callers allow 2 s.
	pendingAge = time.Second
)

// peers asks owners on other nodes.
type peers struct {
	client *http.Client

	mu      sync.Mutex
	pending map[string]pendingCount
}

type pendingCount struct {
	count int
	at    time.Time
}

func newPeers() *peers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerLimit}).DialContext,
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     peerIdle,
		DisableCompression:  true,
	}
	return &peers{client: &http.Client{Transport: transport}, pending: make(map[string]pendingCount)}
}

func (p *peers) owner(address string) cellrpc.Cell {
	return cellrpc.NewCellProtobufClient("http://"+address, p.client)
}

// cellServer answers other nodes' questions.
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

// Accept implements cellrpc.Cell. Any node that reaches the store can do it.
func (s cellServer) Accept(ctx context.Context, r *cellrpc.AcceptRequest) (*cellrpc.AcceptReply, error) {
	kind, _ := jobrecord.ParseKey(r.Key)
	if kind != jobrecord.KindJob && kind != jobrecord.KindCancel || len(r.Value) > s.node.settings.MaxRecordBytes {
		return nil, twirp.InvalidArgumentError("key", "names neither a job nor a cancellation")
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	err := s.node.storeRecord(ctx, store.Record{Key: r.Key, Value: r.Value})
	if err != nil {
		s.node.log.Info("record of another node not stored", zap.String("key", r.Key), zap.Error(err))
	}
	return &cellrpc.AcceptReply{Stored: err == nil, Refused: err != nil && verdict.Of(err) == verdict.NotRun}, nil
}
