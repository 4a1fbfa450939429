package cellnode

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// claimReadWait is how long a read of the claim topic waits for a new record.
	claimReadWait = time.Second
	// claimCheckInterval is the interval at which a node checks whether to claim the cell or renew its claim.
	claimCheckInterval = 100 * time.Millisecond
	// claimCallTimeout is the timeout of an append to the claim topic and of listing the topic. It is a fraction of
	// claim.LeaseDuration, so that a failed renewal can be repeated before the claim expires.
	claimCallTimeout = 700 * time.Millisecond
	// readRetryDelay is the delay before a failed read of a topic is repeated.
	readRetryDelay = 200 * time.Millisecond
)

// watchClaim follows the claim topic and updates the view of the claim.
func (m *membership) watchClaim(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = m.listClaim(ctx)
		}
		if !listed || !m.readClaim(ctx, &listed) {
			m.markStoreUnreachable()
			sleep(ctx, readRetryDelay)
		}
	}
	return ctx.Err()
}

// listClaim passes the latest claim record to the view and reports whether the store answered.
func (m *membership) listClaim(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	listing, err := m.node.platform.Store.List(callCtx, m.claims(), "")
	if err != nil {
		m.node.recordStoreFailure("list claims", err)
		return false
	}
	m.observeClaim(listing.Records, listing.End)
	return true
}

// readClaim passes the claim records appended since the last read to the view and reports whether the store answered.
// If some of these records have been deleted, it sets *listed to false, so that the topic is listed again.
func (m *membership) readClaim(ctx context.Context, listed *bool) bool {
	m.mu.Lock()
	from := m.view.End()
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, claimReadWait+claimCallTimeout)
	defer cancel()
	page, err := m.node.platform.Store.Read(callCtx, m.claims(), from, claimReadWait)
	switch {
	case store.HasReason(err, store.ReasonTrimmed):
		*listed = false
		return true
	case err != nil:
		m.node.recordStoreFailure("read claims", err)
		return false
	}
	m.observeClaim(page.Records, page.Next)
	return true
}

// observeClaim passes the records of a successful read up to end to the view, and logs changes of the claim.
func (m *membership) observeClaim(records []store.Record, end store.Offset) {
	m.node.recordStoreSuccess()
	defer m.confirmStatement() // after mu is released
	m.mu.Lock()
	defer m.mu.Unlock()
	owned := m.view.Owns()
	before, _ := m.view.Latest()
	if unreadable := m.view.Observe(records, end, boottime.Now()); unreadable > 0 {
		m.log.Warn("undecodable claim records ignored", zap.Int("unreadable", unreadable))
	}
	latest, _ := m.view.Latest()
	if latest.Epoch != before.Epoch || latest.Released != before.Released {
		m.log.Info("claim changed", zap.String("owner", latest.Node), zap.Int64("epoch", latest.Epoch), zap.Bool("released", latest.Released),
			zap.Int64("capacity", m.view.Details().Capacity), zap.String("successor", m.view.Details().Successor))
	}
	if owned && !m.view.Owns() {
		m.log.Warn("claim lost", zap.String("owner", latest.Node), zap.Int64("epoch", latest.Epoch))
	}
}

// markStoreUnreachable tells the view that the claim topic could not be read, so that this node does not claim.
func (m *membership) markStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.StoreUnreachable()
}

// claimAndRenew claims the cell if it has no owner, and renews the claim while this node owns the cell. Owners run until
// ownerCtx ends.
func (m *membership) claimAndRenew(ctx, ownerCtx context.Context) error {
	ticker := time.NewTicker(claimCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.statementWanted:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !m.node.stopping.Load() { // a stopping node releases its claim instead
			m.claimOnce(ctx, ownerCtx)
		}
	}
}

// claimOnce writes the claim, renewal, release or request that is due now, if any, and answers a request.
func (m *membership) claimOnce(ctx, ownerCtx context.Context) {
	now := boottime.Now()
	statementDue := m.statementDue()
	m.mu.Lock()
	m.adjustCandidacy()
	renewalDue, shouldRelease, shouldClaim := m.view.RenewalDue(now) || statementDue && m.view.Owns(), m.view.ShouldRelease(), now >= m.restUntil && m.view.ShouldClaim(now)
	shouldRequest := m.view.ShouldRequest(now)
	request, requested := m.view.TakeRequest()
	nextRequest := m.view.NextRequest()
	latest, _ := m.view.Latest()
	nextClaim := m.view.NextClaim(m.node.settings.Node, m.node.settings.PeerAddress)
	nextDetails := m.view.NextDetails()
	end := m.view.End()
	confirmed := m.takeConfirmedClaim(now)
	m.mu.Unlock()
	m.registerIfDue(ctx)
	if confirmed != nil {
		m.startOwner(ownerCtx, *confirmed)
	}
	if requested {
		go m.answerRequest(ownerCtx, request)
	}
	switch {
	case renewalDue:
		m.writeClaim(ctx, claimWrite{owner: m.owner.Load(), record: latest, end: end})
	case shouldRelease:
		latest.Released = true
		if m.writeClaim(ctx, claimWrite{record: latest, end: end}) {
			m.log.Info("ended claim released", zap.Int64("epoch", latest.Epoch), zap.Int64("capacity", m.node.settings.Capacity))
		}
	case shouldClaim && m.node.config.Get() != nil:
		sent := &sentClaim{record: nextClaim, former: latest}
		m.sentClaim = sent
		if m.writeClaim(ctx, claimWrite{record: nextClaim, details: &nextDetails, end: end, wait: &sent.wait}) {
			m.sentClaim = nil
			m.startOwner(ownerCtx, *sent)
		}
	case shouldRequest && m.node.ready():
		m.requestCell(ctx, nextRequest, latest.Node, end)
	}
}

// sentClaim is a claim of this node.
type sentClaim struct {
	record claim.Record
	// former is the latest claim before it, with an empty Address if there is none.
	former claim.Record
	// wait is how long to wait for leases on workers that previous owners extended, on the clock of package boottime.
	wait claim.LeaseWait
}

// takeConfirmedClaim returns a claim that was sent without an answer and has been read back meanwhile, if this node may act
// under it. It returns each claim once. The caller holds mu.
func (m *membership) takeConfirmedClaim(now time.Duration) *sentClaim {
	c := m.sentClaim
	latest, _ := m.view.Latest()
	if c == nil || latest.Epoch < c.record.Epoch {
		return nil
	}
	owned := latest.Epoch == c.record.Epoch && m.view.Owns()
	if owned && !m.view.MayDecide(now) {
		return nil // the claim is renewed first
	}
	m.sentClaim = nil
	if !owned {
		return nil
	}
	m.log.Info("claim without an answer confirmed", zap.Int64("epoch", c.record.Epoch))
	return c
}

// claimWrite is a claim, a renewal or a release that is to be written.
type claimWrite struct {
	record claim.Record
	// owner is the owner under the claim, or nil if it has none that acts.
	owner   *owner
	details *claim.Details // nil: unchanged
	// end is the end of the topic up to which the records had been read from which record was derived.
	end store.Offset
	// wait is set to how long to wait for leases that previous owners extended, unless it is nil.
	wait *claim.LeaseWait
}

// writeClaim appends a claim, a renewal or a release and reports whether it was accepted.
func (m *membership) writeClaim(ctx context.Context, w claimWrite) bool {
	var entries []claimEntry
	if w.details != nil {
		entries = append(entries, claimEntry{claim.DetailsKey, w.details})
	}
	r, details, end := w.record, w.details, w.end
	statement, composed := w.owner.statementFor(r)
	sent := boottime.Now()
	m.mu.Lock()
	if !composed {
		// In one step with Sent: what this process consents to later has to be part of the wait.
		wait := m.view.LeaseWait(m.node.cellSettings.Load().MaxLease, sent)
		statement = m.view.NextStatement(r.Epoch, wait, sent)
		if w.wait != nil {
			*w.wait = wait
		}
	}
	entries = append(entries, claimEntry{claim.StatementKey, &statement}, claimEntry{claim.Key, &r})
	former, formerNeeded := m.view.NextFormerRenewals(r.Epoch, sent)
	if formerNeeded {
		entries = append([]claimEntry{{claim.FormerRenewalsKey, &former}}, entries...)
	}
	m.view.Sent(r, end+store.Offset(len(entries)-1), sent)
	m.mu.Unlock()
	appended, result := m.appendToClaims(ctx, entries, r.Epoch, end)
	if result != verdict.Ran {
		if result == verdict.NotRun {
			m.statementNotStored(statement)
		}
		return false
	}
	m.mu.Lock()
	if details != nil {
		m.view.ApplyDetails(*details)
	}
	if formerNeeded {
		m.view.ApplyFormerRenewals(former, sent)
	}
	m.view.ApplyStatement(statement, appended.End-2, sent)
	m.view.Accepted(r, appended, sent, boottime.Now())
	m.mu.Unlock()
	m.statementStored(statement)
	return true
}

// claimEntry is a key of the claim topic and the value to be stored under it.
type claimEntry struct {
	key   string
	value any
}

// appendToClaims appends entries to the claim topic if it still ends at the given offset. Without verdict.Ran they are not stored, or
// it is not known whether they are.
func (m *membership) appendToClaims(ctx context.Context, entries []claimEntry, epoch int64, end store.Offset) (store.AppendResult, verdict.Verdict) {
	records := make([]store.Record, len(entries))
	for i, entry := range entries {
		value, err := recordcodec.Encode(entry.value)
		if err != nil {
			m.log.Error("failed to encode claim", zap.String("key", entry.key), zap.Error(err))
			return store.AppendResult{}, verdict.NotRun
		}
		records[i] = store.Record{Key: entry.key, Value: value}
	}
	callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	appended, err := m.node.platform.Store.Append(callCtx, store.AppendRequest{Partition: m.claims(), Records: records, ExpectedEnd: &end})
	if err != nil {
		m.log.Info("claim not written", zap.Int64("epoch", epoch), zap.Int64("as_of", int64(end)),
			zap.String("reason", string(verdict.ReasonOf(err))), zap.Stringer("verdict", verdict.Of(err)))
		return store.AppendResult{}, verdict.Of(err)
	}
	m.node.recordStoreSuccess()
	return appended, verdict.Ran
}

// startOwner starts the owner of the cell under an accepted claim.
func (m *membership) startOwner(ctx context.Context, c sentClaim) {
	epoch := c.record.Epoch
	m.log.Info("owner", zap.Int64("epoch", epoch), zap.Duration("leases_end_in", c.wait.End-boottime.Now()),
		zap.String("leases_from", string(c.wait.Source)), zap.Int64("former_epoch", c.wait.Epoch), zap.String("former_owner", c.wait.Node),
		zap.Int64("capacity", m.node.settings.Capacity))
	m.mu.Lock()
	statement, _ := m.view.Statement()
	m.mu.Unlock()
	o := newOwner(m, epoch, c.wait, statement.Serial)
	o.former = c.former
	ctx, o.stop = context.WithCancel(ctx)
	m.owner.Store(o)
	go func() {
		err := m.node.guarded("owner", func() error { return o.run(ctx) })()
		if errors.Is(err, errPanicked) || o.panicked.Load() {
			m.ownerPanicked(boottime.Now())
		} else {
			m.keepLeases(o)
		}
		m.owner.CompareAndSwap(o, nil)
		m.ownerStopped(o)
		m.log.Info("owner no more", zap.Int64("epoch", epoch), zap.Error(err))
	}()
}

// mayDecide reports whether the claim of the given epoch permits this node now to start, stop and pace tasks and to
// store their progress.
func (m *membership) mayDecide(epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, _ := m.view.Latest()
	return latest.Epoch == epoch && m.view.MayDecide(boottime.Now())
}

// mayRenewWorkerLeases reports whether the claim of the given epoch permits renewing leases on workers now.
func (m *membership) mayRenewWorkerLeases(epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, _ := m.view.Latest()
	return latest.Epoch == epoch && m.view.MayRenewWorkerLeases(boottime.Now())
}

// mayContinue reports whether the owner of the given epoch may go on once it can reach the store again.
func (m *membership) mayContinue(epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, _ := m.view.Latest()
	return latest.Epoch == epoch && m.view.MayContinue(boottime.Now())
}

// recordStoreSuccess records that the store has served a call.
func (n *Node) recordStoreSuccess() {
	now := int64(boottime.Now())
	before := n.lastStoreSuccess.Swap(now)
	if n.storeUnreachable.CompareAndSwap(true, false) {
		n.log.Info("store regained", zap.Duration("silent", time.Duration(now-before)))
	}
}

// recordStoreFailure records a call that the store did not answer or rejected. call describes the call in the log.
func (n *Node) recordStoreFailure(call string, err error) {
	now := int64(boottime.Now())
	n.lastStoreFailure.Store(now)
	sinceSuccess := time.Duration(now - n.lastStoreSuccess.Load())
	if sinceSuccess > storeUnreachableAfter && n.storeUnreachable.CompareAndSwap(false, true) {
		n.log.Warn("store out of reach", zap.String("call", call), zap.Duration("silent", sinceSuccess),
			zap.String("reason", string(verdict.ReasonOf(err))))
	}
}

// storeUnreachableAfter is how long after the last successful call the store is considered unreachable. It is longer
// than a read of the claim topic waits for new records, so that a topic without new records does not look like an
// outage.
const storeUnreachableAfter = claimReadWait + claimCallTimeout

// storeFailingAfter is how long after the last successful call storeFailing reports true if a call has failed since.
// Until then, callers' records are still sent to the store.
const storeFailingAfter = 700 * time.Millisecond

// storeFailing reports whether a call to the store has failed since the last successful call, and the last successful
// call was more than storeFailingAfter ago. Appends would probably fail then, so callers' records are not sent to the
// store.
func (n *Node) storeFailing() bool {
	lastSuccess := n.lastStoreSuccess.Load()
	return n.lastStoreFailure.Load() > lastSuccess && time.Duration(int64(boottime.Now())-lastSuccess) > storeFailingAfter
}

// storeReachable reports whether a call to the store has succeeded within the last storeUnreachableAfter.
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
