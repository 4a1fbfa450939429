package cellnode

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/store"
)

// fenceFormerOwners shuts former owners out of the store and passes the workers' entries to the cell, so that the event
// loop can shut them out of the workers as well. It returns the end of the progress topic when the epoch was raised, and
// the entries.
func (o *owner) fenceFormerOwners(ctx context.Context) (progressEnd store.Offset, workers *workerList, err error) {
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return o.retryStep(groupCtx, "raise epoch", func() error {
			raised, err := appender.RaiseEpoch(groupCtx, o.node.platform.Store, o.member.progress(), o.producer(), o.epoch)
			progressEnd = raised.End
			return err
		})
	})
	group.Go(func() error {
		return o.retryStep(groupCtx, "raise epoch for assignments", func() error {
			if _, err := appender.RaiseEpoch(groupCtx, o.node.platform.Store, cellsPartition, o.producer(), o.epoch); err != nil {
				return err
			}
			return o.node.cells.catchUp(groupCtx) // former owners change no assignments from now on
		})
	})
	if err = group.Wait(); err != nil {
		return 0, nil, err
	}
	if err = o.awaitEvacuations(ctx); err != nil {
		return 0, nil, err
	}
	workers = newWorkerList(o.node, o.member.cell)
	if err = o.retryStep(ctx, "read workers", func() error { return workers.read(ctx) }); err != nil {
		return 0, nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.cell.SetConfig(o.node.config.Get())
	o.setEvacuations()
	table := o.node.cells.table()
	o.cell.SetCell(o.member.cell, len(table.Plan().Cells))
	o.cell.SetActive(table.Plan().Cells[o.member.cell].Active)
	o.cell.SetTasks(table.Tasks())
	o.cell.SetWorkers(workers.list())
	return progressEnd, workers, nil
}

// load loads the state that former owners stored. progressEnd is the end of the progress topic when their appends were
// shut out. jobsEnd is the offset from which to continue reading the jobs topic.
func (o *owner) load(ctx context.Context, progressEnd store.Offset) (jobsEnd store.Offset, err error) {
	o.progress = o.node.newAppender(o.member.progress(), o.producer(), o.epoch)
	o.assignments = o.node.newAppender(cellsPartition, o.producer(), o.epoch)
	var progressRecords, jobRecords []store.Record
	err = o.retryStep(ctx, "read progress", func() (err error) {
		var end store.Offset
		progressRecords, end, err = listAll(ctx, o.node.platform.Store, o.member.progress())
		if err == nil && end < progressEnd {
			return trace.CompareFailed("list of progress records ends at offset %d, but the partition ended at offset %d when the epoch was raised", end, progressEnd)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	err = o.retryStep(ctx, "read jobs", func() (err error) {
		jobRecords, jobsEnd, err = o.node.readJobs(ctx)
		return err
	})
	if err != nil {
		return 0, err
	}
	if err := o.learnCells(ctx, jobRecords); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetTime(boottime.Now(), time.Now())
	o.cell.SetCell(o.member.cell, len(o.node.cells.table().Plan().Cells))
	o.cell.Load(jobRecords, progressRecords)
	o.loaded, o.jobsReadAt = true, boottime.Now()
	o.member.wantStatement()
	o.log.Info("state taken over", zap.Int("job_records", len(jobRecords)), zap.Int("progress_records", len(progressRecords)),
		zap.Int("workers", o.cell.WorkerCount()), zap.Int64("progress_end", int64(progressEnd)),
		zap.Duration("took", boottime.Now()-o.claimedAt))
	return jobsEnd, nil
}

// producer returns the name under which the owners of the cell append records. Their epochs distinguish them.
func (o *owner) producer() string { return "cell-" + strconv.Itoa(o.member.cell) }

// readJobs returns the records of all jobs, and the offset from which to continue reading. A job whose records are deleted
// during the listing might be listed with a repeated request only, which may name another cell than the first one.
// Therefore everything that was appended meanwhile is read as well, and applied.
func (n *Node) readJobs(ctx context.Context) (records []store.Record, end store.Offset, err error) {
	records, end, err = listAll(ctx, n.platform.Store, jobsPartition)
	if err != nil {
		return nil, 0, err
	}
	f := &follower{store: n.platform.Store, partition: jobsPartition, listed: true, nextOffset: end}
	latest := make(map[string]int, len(records)) // index in records by key
	for i := range records {
		latest[records[i].Key] = i
	}
	for {
		from := f.nextOffset
		newer, err := f.next(ctx)
		if err != nil {
			return nil, 0, err
		}
		if !f.listed {
			return nil, 0, trace.CompareFailed("records of jobs after offset %d were deleted while they were read", from)
		}
		for _, r := range newer {
			if i, known := latest[r.Key]; known {
				records[i] = r
				continue
			}
			latest[r.Key] = len(records)
			records = append(records, r)
		}
		if f.nextOffset == from {
			return slices.DeleteFunc(records, func(r store.Record) bool { return len(r.Value) == 0 }), from, nil
		}
	}
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
		if ctx.Err() != nil || !o.member.mayContinue(o.epoch) {
			return errClaimEnded
		}
	}
}
