package cellnode

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/verdict"
)

// queryStatus asks the owners, of which one may be on this node, for the state of a job and retries for up to maxWait. ok
// is false if no owner is known or none could answer; the cell of the status is then that which was asked first.
func (g gateway) queryStatus(ctx context.Context, id jobs.ID, maxWait time.Duration) (s jobStatus, ok bool) {
	start := time.Now()
	for {
		if s, ok = g.queryStatusOnce(ctx, id); ok {
			return s, true
		}
		if time.Since(start)+queryRetryDelay > maxWait || ctx.Err() != nil {
			return s, false
		}
		sleep(ctx, queryRetryDelay)
	}
}

// queryStatusOnce is queryStatus without retries. It asks the owner of the cell in which the job probably is and, if that
// one does not answer, the owner of another cell, since every owner knows to which cell a job belongs.
func (g gateway) queryStatusOnce(ctx context.Context, id jobs.ID) (s jobStatus, ok bool) {
	plan := g.node.cells.table().Plan()
	first, accepted := g.node.acceptedJobs.cellOf(id)
	if !accepted {
		first = plan.Homes(g.node.settings.FailureDomain)[0]
	}
	if s, ok = g.findStatus(ctx, first, id); ok {
		return s, true
	}
	active := plan.Active()
	if other := active[rand.IntN(len(active))]; other != first {
		if s, ok = g.findStatus(ctx, other, id); ok {
			return s, true
		}
	}
	return jobStatus{cell: first}, false
}

// findStatus asks the owner of a cell for the state of a job and, if the job belongs to another cell, the owner of that.
func (g gateway) findStatus(ctx context.Context, cell int, id jobs.ID) (s jobStatus, ok bool) {
	s, ok = g.askStatus(ctx, cell, id)
	if ok && s.elsewhere {
		g.node.acceptedJobs.moved(id, s.cell)
		s, ok = g.askStatus(ctx, s.cell, id)
	}
	return s, ok && !s.elsewhere
}

// askStatus asks the owner of a cell, which may be on this node.
func (g gateway) askStatus(ctx context.Context, cell int, id jobs.ID) (s jobStatus, ok bool) {
	if o := g.node.ownerOf(cell); o != nil {
		return o.status(id)
	}
	address := g.node.ownerAddress(ctx, cell)
	if address == "" {
		return jobStatus{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	reply, err := g.node.peers.ownerClient(address).Status(ctx, &cellrpc.StatusRequest{Job: string(id), Cell: int32(cell)})
	if err != nil || !reply.Owner {
		g.node.ownerFailed(cell)
		g.node.log.Info("owner did not answer status query", zap.String("job", string(id)), zap.Int("cell", cell), zap.String("owner", address), zap.Error(err))
		return jobStatus{}, false
	}
	return jobStatus{state: jobs.State(reply.State), known: reply.Known, elsewhere: reply.Elsewhere, cell: int(reply.JobCell)}, true
}

// countPending returns the number of pending jobs of a queue in all cells. The second result is false if the owner of a
// cell is not known or could not answer.
func (g gateway) countPending(ctx context.Context, name string) (int, bool) {
	counts := make([]int, len(g.node.cells.table().Plan().Cells))
	var group errgroup.Group
	for cell := range counts {
		group.Go(g.node.guarded("count pending jobs", func() error {
			count, ok := g.countPendingIn(ctx, pendingKey{queue: name, cell: cell})
			counts[cell] = count
			if !ok {
				return verdict.New(verdict.NotRun, reasonNoOwner, nil)
			}
			return nil
		}))
	}
	err := group.Wait()
	total := 0
	for _, count := range counts {
		total += count
	}
	return total, err == nil
}

// countPendingIn returns the number of pending jobs of a queue in one cell, from the owner or from a cached reply that is
// younger than pendingCacheTTL.
func (g gateway) countPendingIn(ctx context.Context, key pendingKey) (int, bool) {
	if o := g.node.ownerOf(key.cell); o != nil {
		return o.pending(key.queue)
	}
	p := g.node.peers
	p.mu.Lock()
	cached, found := p.pending[key]
	p.mu.Unlock()
	if found && time.Since(cached.requestedAt) < pendingCacheTTL {
		return cached.count, true
	}
	address := g.node.ownerAddress(ctx, key.cell)
	if address == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := p.ownerClient(address).Pending(ctx, &cellrpc.PendingRequest{Queue: key.queue, Cell: int32(key.cell)})
	if err != nil || !reply.Owner {
		g.node.ownerFailed(key.cell)
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[key] = pendingCount{count: int(reply.Count), requestedAt: requestedAt}
	return int(reply.Count), true
}
