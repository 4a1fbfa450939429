package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobs"
)

// queryStatus asks the owner, which may be this node, for the state of a job and retries for up to maxWait. known
// reports whether the job exists. ok is false if no owner is known or the owner could not answer.
func (g gateway) queryStatus(ctx context.Context, id jobs.ID, maxWait time.Duration) (state jobs.State, known, ok bool) {
	start := time.Now()
	for {
		if state, known, ok = g.queryStatusOnce(ctx, id); ok {
			return state, known, true
		}
		if time.Since(start)+queryRetryDelay > maxWait || ctx.Err() != nil {
			return 0, false, false
		}
		sleep(ctx, queryRetryDelay)
	}
}

// queryStatusOnce is queryStatus without retries.
func (g gateway) queryStatusOnce(ctx context.Context, id jobs.ID) (state jobs.State, known, ok bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.status(id)
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := g.node.peers.ownerClient(address).Status(ctx, &cellrpc.StatusRequest{Job: string(id)})
	if err != nil || !reply.Owner {
		g.node.log.Info("owner did not answer status query", zap.String("job", string(id)), zap.String("owner", address), zap.Error(err))
		return 0, false, false
	}
	return jobs.State(reply.State), reply.Known, true
}

// ownerAddress returns the peer address of the owner, or an empty string if no other node is known to own the cell.
func (n *Node) ownerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	latest, ok := n.view.Latest()
	if !ok || latest.Released || latest.Holder == n.holder {
		return ""
	}
	return latest.Address
}

// countPending returns the number of pending jobs of a queue, from the owner or from a cached reply that is younger
// than pendingCacheTTL. The second result is false if no owner is known or the owner could not answer.
func (g gateway) countPending(ctx context.Context, name string) (int, bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.pending(name)
	}
	p := g.node.peers
	p.mu.Lock()
	cached, found := p.pending[name]
	p.mu.Unlock()
	if found && time.Since(cached.requestedAt) < pendingCacheTTL {
		return cached.count, true
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := p.ownerClient(address).Pending(ctx, &cellrpc.PendingRequest{Queue: name})
	if err != nil || !reply.Owner {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[name] = pendingCount{count: int(reply.Count), requestedAt: requestedAt}
	return int(reply.Count), true
}
