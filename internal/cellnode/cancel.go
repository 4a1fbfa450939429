package cellnode

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
)

const (
	// maxJobLookups is the number of lookups of jobs in the store at a time. Callers may ask for any number of unknown jobs.
	maxJobLookups = 4
	// jobLookupTimeout is the maximum time for a lookup, including the wait for others.
	jobLookupTimeout = time.Second
)

// cancel stores the cancellation of a job, also if no owner answers. An owner that answers that the job is unknown may not have read
// it yet, so only a job that is not in the store either is denied, with status 410.
func (g gateway) cancel(ctx context.Context, id jobs.ID) response {
	status, answered := g.queryStatus(ctx, id, 0)
	cell := status.cell
	if answered && !status.known {
		found, stored, err := g.node.lookUpJob(ctx, id)
		switch {
		case err != nil:
			return response{status: http.StatusServiceUnavailable, reason: reasonNotStored, retryAfter: g.node.storeRetryAfter()}
		case !stored:
			return errorResponse(http.StatusGone, reasonNoJob)
		}
		cell = found
	}
	return g.storeResponse(g.storeOrForward(ctx, cell, store.Record{Key: jobrecord.CancelKey(id), Value: []byte{1}}))
}

// lookUpJob reports whether the store has a job, and in which cell.
func (n *Node) lookUpJob(ctx context.Context, id jobs.ID) (cell int, stored bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, jobLookupTimeout)
	defer cancel()
	select {
	case n.jobLookups <- struct{}{}:
		defer func() { <-n.jobLookups }()
	case <-ctx.Done():
		return 0, false, ctx.Err()
	}
	prefix := jobrecord.JobPrefix(id)
	page, err := n.platform.Store.List(ctx, jobsPartition, prefix)
	if err != nil {
		n.recordStoreFailure("look up job", err)
		return 0, false, err
	}
	for _, r := range page.Records {
		if !strings.HasPrefix(r.Key, prefix) {
			break
		}
		if len(r.Value) > 0 {
			return jobrecord.JobCell(r.Key), true, nil
		}
	}
	return 0, false, nil
}
