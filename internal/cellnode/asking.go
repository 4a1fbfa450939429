package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobs"
)

// ask asks the owner for a job's state, for as long as patience if it does not answer.
func (g gateway) ask(ctx context.Context, id jobs.ID, patience time.Duration) (state jobs.State, known, ok bool) {
	began := time.Now()
	for {
		if state, known, ok = g.askOnce(ctx, id); ok {
			return state, known, true
		}
		if time.Since(began)+askPause > patience || ctx.Err() != nil {
			return 0, false, false
		}
		sleep(ctx, askPause)
	}
}

func (g gateway) askOnce(ctx context.Context, id jobs.ID) (state jobs.State, known, ok bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.status(id)
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	reply, err := g.node.peers.owner(address).Status(ctx, &cellrpc.StatusRequest{Job: string(id)})
	if err != nil || !reply.Owner {
		g.node.log.Info("owner did not answer", zap.String("job", string(id)), zap.String("owner", address), zap.Error(err))
		return 0, false, false
	}
	return jobs.State(reply.State), reply.Known, true
}

// ownerAddress is where the owner answers, or empty when none is known.
func (n *Node) ownerAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, ok := n.view.Newest()
	if !ok || newest.Released || newest.Holder == n.holder {
		return ""
	}
	return newest.Address
}

func (g gateway) countPending(ctx context.Context, name string) (int, bool) {
	if o := g.node.owner.Load(); o != nil {
		return o.pending(name)
	}
	p := g.node.peers
	p.mu.Lock()
	known, found := p.pending[name]
	p.mu.Unlock()
	if found && time.Since(known.at) < pendingAge {
		return known.count, true
	}
	address := g.node.ownerAddress()
	if address == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	asked := time.Now()
	reply, err := p.owner(address).Pending(ctx, &cellrpc.PendingRequest{Queue: name})
	if err != nil || !reply.Owner {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[name] = pendingCount{count: int(reply.Count), at: asked}
	return int(reply.Count), true
}
