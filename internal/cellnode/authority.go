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
	// claimReadWait is how long a read of the claim waits for a renewal.
	claimReadWait = time.Second
	// authorityTick is between two looks at the own claim.
	authorityTick = 100 * time.Millisecond
	// claimCallLimit bounds a claim or renewal: several fit into a lease.
	claimCallLimit = 700 * time.Millisecond
	// readPause is between two reads after one that failed.
	readPause = 200 * time.Millisecond
)

// watchClaim reads the claim as it changes.
func (n *Node) watchClaim(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = n.listClaim(ctx)
		}
		if !listed || !n.readClaim(ctx, &listed) {
			n.outOfContact()
			sleep(ctx, readPause)
		}
	}
	return ctx.Err()
}

func (n *Node) listClaim(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, claimCallLimit)
	defer cancel()
	listing, err := n.platform.Store.List(limited, claimsPartition, "")
	if err != nil {
		n.storeFailed("list claims", err)
		return false
	}
	n.observe(listing.Records, listing.End)
	return true
}

func (n *Node) readClaim(ctx context.Context, listed *bool) bool {
	n.mu.Lock()
	from := n.view.End()
	n.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, claimReadWait+claimCallLimit)
	defer cancel()
	page, err := n.platform.Store.Read(limited, claimsPartition, from, claimReadWait)
	switch {
	case store.Is(err, store.ReasonTrimmed):
		*listed = false
		return true
	case err != nil:
		n.storeFailed("read claims", err)
		return false
	}
	n.observe(page.Records, page.Next)
	return true
}

func (n *Node) observe(records []store.Record, end store.Offset) {
	n.storeAnswered()
	n.mu.Lock()
	defer n.mu.Unlock()
	owned := n.view.Owns()
	before, _ := n.view.Newest()
	if unreadable := n.view.Observe(records, end, boottime.Now()); unreadable > 0 {
		n.log.Warn("claims passed over", zap.Int("unreadable", unreadable))
	}
	newest, _ := n.view.Newest()
	if newest.Epoch != before.Epoch || newest.Released != before.Released {
		n.log.Info("claim read", zap.String("owner", newest.Node), zap.Int64("epoch", newest.Epoch), zap.Bool("released", newest.Released))
	}
	if owned && !n.view.Owns() {
		n.log.Warn("claim lost", zap.String("owner", newest.Node), zap.Int64("epoch", newest.Epoch))
	}
}

func (n *Node) outOfContact() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.OutOfContact()
}

// claimAndRenew claims the cell when nobody owns it, and renews the own claim.
func (n *Node) claimAndRenew(ctx context.Context) error {
	ticker := time.NewTicker(authorityTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := boottime.Now()
		n.mu.Lock()
		due, should := n.view.RenewalDue(now), n.view.ShouldClaim(now)
		newest, _ := n.view.Newest()
		next := n.view.Next(n.settings.Node, n.settings.PeerAddress)
		leasesEnd := n.view.LeasesEnd(n.bounds.Load().MaxHold, now)
		n.mu.Unlock()
		switch {
		case due && !n.stopping.Load(): // a stopping node releases its claim instead
			n.putClaim(ctx, newest)
		case should && !n.stopping.Load() && n.config.Get() != nil:
			if n.putClaim(ctx, next) {
				n.becomeOwner(ctx, next, leasesEnd)
			}
		}
	}
}

// putClaim appends a claim, a renewal or a release and tells whether it was accepted.
func (n *Node) putClaim(ctx context.Context, r claim.Record) bool {
	value, err := packed.Encode(&r)
	if err != nil {
		n.log.Error("claim could not be encoded", zap.Error(err))
		return false
	}
	n.mu.Lock()
	end := n.view.End()
	n.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, claimCallLimit)
	defer cancel()
	sent := boottime.Now()
	appended, err := n.platform.Store.Append(limited, store.Append{
		Partition: claimsPartition, Records: []store.Record{{Key: claim.Key, Value: value}}, AsOf: &end,
	})
	if err != nil {
		n.log.Info("claim not written", zap.Int64("epoch", r.Epoch), zap.Int64("as_of", int64(end)),
			zap.String("reason", string(verdict.ReasonOf(err))), zap.Stringer("verdict", verdict.Of(err)))
		return false
	}
	n.storeAnswered()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.Accepted(r, appended, sent, boottime.Now())
	return true
}

// becomeOwner starts to own the cell under an accepted claim. leasesEnd is when leases of former owners have lapsed.
func (n *Node) becomeOwner(ctx context.Context, r claim.Record, leasesEnd time.Duration) {
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

// mayDecide tells whether the claim of an epoch permits decisions now; mayHold whether it permits renewing leases.
func (n *Node) mayDecide(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, _ := n.view.Newest()
	return newest.Epoch == epoch && n.view.MayDecide(boottime.Now())
}

func (n *Node) mayHold(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, _ := n.view.Newest()
	return newest.Epoch == epoch && n.view.MayHold(boottime.Now())
}

// storeAnswered notes a call that the store served.
func (n *Node) storeAnswered() {
	now := int64(boottime.Now())
	before := n.storeSeen.Swap(now)
	if n.storeLost.CompareAndSwap(true, false) {
		n.log.Info("store regained", zap.Duration("silent", time.Duration(now-before)))
	}
}

// storeFailed notes a call that the store did not answer or refused.
func (n *Node) storeFailed(what string, err error) {
	now := int64(boottime.Now())
	n.storeFailedAt.Store(now)
	silent := time.Duration(now - n.storeSeen.Load())
	if silent > storeSilent && n.storeLost.CompareAndSwap(false, true) {
		n.log.Warn("store out of reach", zap.String("call", what), zap.Duration("silent", silent),
			zap.String("reason", string(verdict.ReasonOf(err))))
	}
}

// storeSilent is the time without an answer after which the store counts as out of reach: longer than a read waits.
const storeSilent = claimReadWait + claimCallLimit

// storeDoubtful is the time without an answer after which, if a call has failed meanwhile, nothing new is sent to the store
// on a caller's behalf.
const storeDoubtful = 700 * time.Millisecond

// storeInDoubt tells whether an append would probably fail now.
func (n *Node) storeInDoubt() bool {
	seen := n.storeSeen.Load()
	return n.storeFailedAt.Load() > seen && time.Duration(int64(boottime.Now())-seen) > storeDoubtful
}

func (n *Node) storeReachable() bool {
	return time.Duration(int64(boottime.Now())-n.storeSeen.Load()) <= storeSilent
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
