package cellnode

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/store"
)

// fenceFormerOwners shuts former owners out of the store and passes the workers' entries to the cell, so that the event
// loop can shut them out of the workers as well. It returns the end of the progress topic when the epoch was raised, and
// the entries.
func (o *owner) fenceFormerOwners(ctx context.Context) (progressEnd store.Offset, workers *workerList, err error) {
	err = o.retryStep(ctx, "raise epoch", func() error {
		raised, err := appender.RaiseEpoch(ctx, o.node.platform.Store, progressPartition, progressProducer, o.epoch)
		progressEnd = raised.End
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	workers = newWorkerList(o.node)
	if err = o.retryStep(ctx, "read workers", func() error { return workers.read(ctx) }); err != nil {
		return 0, nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.cell.SetConfig(o.node.config.Get())
	o.cell.SetWorkers(workers.list())
	return progressEnd, workers, nil
}

// load loads the state that former owners stored. progressEnd is the end of the progress topic when their appends were
// shut out. jobsEnd is the offset from which to continue reading the jobs topic.
func (o *owner) load(ctx context.Context, progressEnd store.Offset) (jobsEnd store.Offset, err error) {
	o.progress = appender.New(o.node.platform.Store, progressPartition, progressProducer, o.epoch, o.node.settings.MaxCallBytes)
	var progressRecords, jobRecords []store.Record
	err = o.retryStep(ctx, "read progress", func() (err error) {
		var end store.Offset
		progressRecords, end, err = listAll(ctx, o.node.platform.Store, progressPartition)
		if err == nil && end < progressEnd {
			return trace.CompareFailed("list of progress records ends at offset %d, but the partition ended at offset %d when the epoch was raised", end, progressEnd)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	err = o.retryStep(ctx, "read jobs", func() (err error) {
		jobRecords, jobsEnd, err = listAll(ctx, o.node.platform.Store, jobsPartition)
		return err
	})
	if err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.cell.Load(jobRecords, progressRecords)
	o.loaded, o.jobsReadAt = true, boottime.Now()
	o.log.Info("state taken over", zap.Int("job_records", len(jobRecords)), zap.Int("progress_records", len(progressRecords)),
		zap.Int("workers", o.cell.WorkerCount()), zap.Int64("progress_end", int64(progressEnd)),
		zap.Duration("took", boottime.Now()-o.claimedAt))
	return jobsEnd, nil
}

// retryStep runs a step of the take-over and retries it until it succeeds or the claim ends.
func (o *owner) retryStep(ctx context.Context, name string, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if store.HasReason(err, store.ReasonFenced) {
			return errFenced
		}
		o.log.Info("take-over step failed", zap.String("step", name), zap.Error(err))
		sleep(ctx, loadRetryDelay)
		if ctx.Err() != nil || !o.node.mayRenewWorkerLeases(o.epoch) {
			return errClaimEnded
		}
	}
}
