package cellnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/packed"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// claimReadWait is how long a read of the claim topic waits for a new record.
	claimReadWait = time.Second
	// claimCheckInterval is the interval at which a node checks whether to claim the cell or renew its claim.
	claimCheckInterval = 100 * time.Millisecond
	// claimCallTimeout is the timeout of a claim or renewal. Several of them fit into a lease.
	claimCallTimeout = 700 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 200 * time.Millisecond
)

// watchClaim follows the claim topic and updates the view of the claim.
func (n *Node) watchClaim(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = n.listClaim(ctx)
		}
		if !listed || !n.readClaim(ctx, &listed) {
			n.markStoreUnreachable()
			sleep(ctx, readRetryDelay)
		}
	}
	return ctx.Err()
}

func (n *Node) listClaim(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	listing, err := n.platform.Store.List(callCtx, claimsPartition, "")
	if err != nil {
		n.recordStoreFailure("list claims", err)
		return false
	}
	n.observeClaim(listing.Records, listing.End)
	return true
}

func (n *Node) readClaim(ctx context.Context, listed *bool) bool {
	n.mu.Lock()
	from := n.view.End()
	n.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, claimReadWait+claimCallTimeout)
	defer cancel()
	page, err := n.platform.Store.Read(callCtx, claimsPartition, from, claimReadWait)
	switch {
	case store.Is(err, store.ReasonTrimmed):
		*listed = false
		return true
	case err != nil:
		n.recordStoreFailure("read claims", err)
		return false
	}
	n.observeClaim(page.Records, page.Next)
	return true
}

func (n *Node) observeClaim(records []store.Record, end store.Offset) {
	n.recordStoreSuccess()
	n.mu.Lock()
	defer n.mu.Unlock()
	owned := n.view.Owns()
	before, _ := n.view.Newest()
	if unreadable := n.view.Observe(records, end, boottime.Now()); unreadable > 0 {
		n.log.Warn("undecodable claim records ignored", zap.Int("unreadable", unreadable))
	}
	newest, _ := n.view.Newest()
	if newest.Epoch != before.Epoch || newest.Released != before.Released {
		n.log.Info("claim changed", zap.String("owner", newest.Node), zap.Int64("epoch", newest.Epoch), zap.Bool("released", newest.Released))
	}
	if owned && !n.view.Owns() {
		n.log.Warn("claim lost", zap.String("owner", newest.Node), zap.Int64("epoch", newest.Epoch))
	}
}

func (n *Node) markStoreUnreachable() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.OutOfContact()
}

// claimAndRenew claims the cell if it has no owner, and renews the claim while this node owns the cell.
func (n *Node) claimAndRenew(ctx context.Context) error {
	ticker := time.NewTicker(claimCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := boottime.Now()
		n.mu.Lock()
		renewalDue, shouldClaim := n.view.RenewalDue(now), n.view.ShouldClaim(now)
		newest, _ := n.view.Newest()
		nextClaim := n.view.Next(n.settings.Node, n.settings.PeerAddress)
		leasesEnd := n.view.LeasesEnd(n.cellSettings.Load().MaxHold, now)
		n.mu.Unlock()
		switch {
		case renewalDue && !n.stopping.Load(): // a stopping node releases its claim instead
			n.writeClaim(ctx, newest)
		case shouldClaim && !n.stopping.Load() && n.config.Get() != nil:
			if n.writeClaim(ctx, nextClaim) {
				n.startOwner(ctx, nextClaim, leasesEnd)
			}
		}
	}
}

// writeClaim appends a claim, a renewal or a release and reports whether it was accepted.
func (n *Node) writeClaim(ctx context.Context, r claim.Record) bool {
	value, err := packed.Encode(&r)
	if err != nil {
		n.log.Error("failed to encode claim", zap.Error(err))
		return false
	}
	n.mu.Lock()
	end := n.view.End()
	n.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	sent := boottime.Now()
	appended, err := n.platform.Store.Append(callCtx, store.Append{
		Partition: claimsPartition, Records: []store.Record{{Key: claim.Key, Value: value}}, AsOf: &end,
	})
	if err != nil {
		n.log.Info("claim not written", zap.Int64("epoch", r.Epoch), zap.Int64("as_of", int64(end)),
			zap.String("reason", string(verdict.ReasonOf(err))), zap.Stringer("verdict", verdict.Of(err)))
		return false
	}
	n.recordStoreSuccess()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Accepted(r, appended, sent, boottime.Now())
	return true
}

// startOwner starts the owner of the cell under an accepted claim. leasesEnd is when the leases of previous owners have
// expired.
func (n *Node) startOwner(ctx context.Context, r claim.Record, leasesEnd time.Duration) {
	n.log.Info("owner", zap.Int64("epoch", r.Epoch), zap.Duration("leases_end_in", leasesEnd-boottime.Now()))
	o := newOwner(n, r.Epoch, leasesEnd)
	n.owner.Store(o)
	go func() {
		err := o.run(ctx)
		n.owner.CompareAndSwap(o, nil)
		n.mu.Lock()
		if !n.stopping.Load() { // a stopping node releases the claim
			n.view.Lose(r.Epoch)
		}
		n.mu.Unlock()
		n.log.Info("owner no more", zap.Int64("epoch", r.Epoch), zap.Error(err))
	}()
}

// mayDecide reports whether the claim of the given epoch permits decisions about tasks now.
func (n *Node) mayDecide(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, _ := n.view.Newest()
	return newest.Epoch == epoch && n.view.MayDecide(boottime.Now())
}

// mayRenewWorkerLeases reports whether the claim of the given epoch permits renewing leases on workers now.
func (n *Node) mayRenewWorkerLeases(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, _ := n.view.Newest()
	return newest.Epoch == epoch && n.view.MayHold(boottime.Now())
}

// recordStoreSuccess records that the store has served a call.
func (n *Node) recordStoreSuccess() {
	now := int64(boottime.Now())
	before := n.lastStoreSuccess.Swap(now)
	if n.storeUnreachable.CompareAndSwap(true, false) {
		n.log.Info("store regained", zap.Duration("silent", time.Duration(now-before)))
	}
}

// recordStoreFailure records a call that the store did not answer or rejected.
func (n *Node) recordStoreFailure(call string, err error) {
	now := int64(boottime.Now())
	n.lastStoreFailure.Store(now)
	silent := time.Duration(now - n.lastStoreSuccess.Load())
	if silent > storeUnreachableAfter && n.storeUnreachable.CompareAndSwap(false, true) {
		n.log.Warn("store out of reach", zap.String("call", call), zap.Duration("silent", silent),
			zap.String("reason", string(verdict.ReasonOf(err))))
	}
}

// storeUnreachableAfter is the time without a successful call after which the store is considered unreachable. It is longer
// than a read waits.
const storeUnreachableAfter = claimReadWait + claimCallTimeout

// storeSuspectAfter is the time without a successful call after which no more callers' records are sent to the store if a
// call has failed since the last success.
const storeSuspectAfter = 700 * time.Millisecond

// storeSuspect reports whether an append would probably fail now.
func (n *Node) storeSuspect() bool {
	seen := n.lastStoreSuccess.Load()
	return n.lastStoreFailure.Load() > seen && time.Duration(int64(boottime.Now())-seen) > storeSuspectAfter
}

func (n *Node) storeReachable() bool {
	return time.Duration(int64(boottime.Now())-n.lastStoreSuccess.Load()) <= storeUnreachableAfter
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
