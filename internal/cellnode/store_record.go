package cellnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// combinedStoreTimeout is the timeout for storing a record by way of the owner while appends are slow: all the time that storing
// a record may take, since an append may first wait for the owner's previous one.
const combinedStoreTimeout = storeTimeout

// settleDelay is the delay between two attempts to store a record.
const settleDelay = 100 * time.Millisecond

// storeOrForward stores a record in the jobs topic. While the outcome of an attempt is unknown and there is time, it tries again,
// by way of the owner of another cell if there are several: any node can store the record, and storing it twice has the same
// effect as storing it once. The error is nil if an attempt succeeded, and its verdict is NotRun only if the verdict of every
// attempt is.
func (g gateway) storeOrForward(ctx context.Context, cell int, r store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kind, _ := jobrecord.ParseKey(r.Key)
	cells := len(g.node.cells.table().Plan().Cells)
	err := g.attemptStore(ctx, cell, r)
	for attempt := 1; err != nil && verdict.Of(err) != verdict.NotRun; attempt++ {
		sleep(ctx, settleDelay)
		if ctx.Err() != nil {
			return err
		}
		again := r
		if kind == jobrecord.KindJob {
			again.Key = jobrecord.WithWriter(r.Key, g.node.nextWriter()) // a key is not stored twice
		}
		if g.attemptStore(ctx, (cell+attempt)%cells, again) == nil {
			return nil
		}
	}
	return err
}

// attemptStore stores a record in the jobs topic. If this node's append fails or takes longer than forwardAfter, the owner of the
// cell is asked to store the record as well. The error is as that of storeOrForward.
//
// While appends to the topic are slow, the owner alone stores the records of all nodes, as long as it does so.
func (g gateway) attemptStore(ctx context.Context, cell int, r store.Record) error {
	if g.node.jobsAppender.Congested() {
		if address := g.node.ownerAddress(ctx, cell); address != "" {
			g.node.metrics.GetOrCreateCounter("cactuswall_records_combined_total").Inc()
			began := boottime.Now()
			err := g.storeViaOwner(ctx, address, r, combinedStoreTimeout)
			g.node.jobsAppender.ObserveLatency(boottime.Now() - began)
			if err == nil || verdict.ReasonOf(err) == reasonOwnerRefused || ctx.Err() != nil {
				return err // an append of this node would only make the owner's wait longer
			}
			g.node.ownerFailed(cell)
			return worse(err, g.node.storeRecord(ctx, r))
		}
	}
	results := make(chan error, 2)
	go func() {
		results <- g.node.guarded("store record", func() error { return g.node.storeRecord(ctx, r) })()
	}()
	timer := time.NewTimer(forwardAfter)
	defer timer.Stop()
	var localErr error
	pendingResults := 1
	select {
	case localErr = <-results:
		if localErr == nil {
			return nil
		}
		pendingResults--
	case <-timer.C:
	}
	address := g.node.ownerAddress(ctx, cell)
	if address == "" {
		if pendingResults == 0 {
			return localErr
		}
		return <-results
	}
	pendingResults++
	go func() {
		err := g.node.guarded("store record by the owner", func() error { return g.storeViaOwner(ctx, address, r, peerCallTimeout) })()
		if err != nil && verdict.Of(err) != verdict.NotRun {
			g.node.ownerFailed(cell)
		}
		results <- err
	}()
	worstErr := localErr
	for range pendingResults {
		err := <-results
		if err == nil {
			return nil
		}
		if worstErr == nil || verdict.Of(err) != verdict.NotRun {
			worstErr = err
		}
	}
	return worstErr
}

// worse returns nil if one of two attempts to store a record has succeeded, and otherwise the error that says less about the
// outcome.
func worse(first, second error) error {
	switch {
	case first == nil || second == nil:
		return nil
	case verdict.Of(first) != verdict.NotRun:
		return first
	}
	return second
}

// storeRecord stores a record in the jobs topic. While storeFailing reports true nothing is sent, so that the caller
// can be told at once that its request was not executed.
func (n *Node) storeRecord(ctx context.Context, r store.Record) error {
	if n.storeFailing() {
		return verdict.New(verdict.NotRun, reasonStoreUnavailable, nil)
	}
	_, err := n.jobsAppender.Append(ctx, []store.Record{r})
	if err == nil {
		n.recordStoreSuccess()
	}
	return err
}

// storeViaOwner asks the owner to store a record.
func (g gateway) storeViaOwner(ctx context.Context, address string, r store.Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := g.node.peers.ownerClient(address).Accept(ctx, &cellrpc.AcceptRequest{Key: r.Key, Value: r.Value})
	g.node.log.Info("asked owner to store record", zap.String("key", r.Key), zap.String("owner", address),
		zap.Bool("stored", err == nil && reply.Stored), zap.Error(err))
	var opErr *net.OpError
	switch {
	case err == nil && reply.Stored:
		return nil
	case err == nil && reply.Refused:
		return verdict.New(verdict.NotRun, reasonOwnerRefused, nil)
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return verdict.New(verdict.NotRun, reasonOwnerDidNotStore, err)
	}
	return verdict.New(verdict.MayHaveRun, reasonOwnerDidNotStore, err)
}

// storeResponse returns the response to a caller from the result of storing its record.
func (g gateway) storeResponse(err error) response {
	if err == nil {
		return response{status: http.StatusOK}
	}
	if verdict.Of(err) == verdict.NotRun {
		return response{status: http.StatusServiceUnavailable, reason: reasonNotStored, retryAfter: g.node.storeRetryAfter()}
	}
	return response{status: http.StatusGatewayTimeout, reason: reasonStoreOutcomeUnknown}
}

// storeRetryAfter returns the Retry-After for a caller whose record was not stored: the time since the last successful
// call to the store, limited by minRetryAfter and maxRetryAfter.
func (n *Node) storeRetryAfter() time.Duration {
	unavailableFor := time.Duration(int64(boottime.Now()) - n.lastStoreSuccess.Load())
	return min(maxRetryAfter, max(minRetryAfter, unavailableFor))
}
