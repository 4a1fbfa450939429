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

// load shuts out former owners and reads what they stored.
func (o *owner) load(ctx context.Context) (jobsEnd store.Offset, workers *workerList, err error) {
	var raised store.Appended
	err = o.retry(ctx, "raise epoch", func() (err error) {
		raised, err = appender.Raise(ctx, o.node.platform.Store, progressPartition, progressProducer, o.epoch)
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	o.progress = appender.New(o.node.platform.Store, progressPartition, progressProducer, o.epoch, o.node.settings.MaxCallBytes)
	var progress, accepted []store.Record
	err = o.retry(ctx, "read progress", func() (err error) {
		var end store.Offset
		progress, end, err = listAll(ctx, o.node.platform.Store, progressPartition)
		if err == nil && end < raised.End {
			return trace.CompareFailed("the list of progress ends at %d, before %d", end, raised.End)
		}
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	err = o.retry(ctx, "read jobs", func() (err error) {
		accepted, jobsEnd, err = listAll(ctx, o.node.platform.Store, jobsPartition)
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	workers = newWorkerList(o.node)
	if err = o.retry(ctx, "read workers", func() error { return workers.read(ctx) }); err != nil {
		return 0, nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.At(boottime.Now(), time.Now())
	o.cell.SetConfig(o.node.config.Get())
	o.cell.Workers(workers.list())
	o.cell.Load(accepted, progress)
	o.loaded, o.jobsRead = true, boottime.Now()
	o.log.Info("state taken over", zap.Int("job_records", len(accepted)), zap.Int("progress_records", len(progress)),
		zap.Int("workers", len(workers.list())), zap.Int64("progress_end", int64(raised.End)),
		zap.Duration("took", boottime.Now()-o.claimed))
	return jobsEnd, workers, nil
}

// retry repeats a step of taking over while the claim stands.
func (o *owner) retry(ctx context.Context, what string, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if store.Is(err, store.ReasonFenced) {
			return errFenced
		}
		o.log.Info("take-over delayed", zap.String("step", what), zap.Error(err))
		sleep(ctx, loadPause)
		if ctx.Err() != nil || !o.node.mayHold(o.epoch) {
			return errClaimEnded
		}
	}
}
