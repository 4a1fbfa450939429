// Package appender writes records to a partition of a keyed topic (see package store). Records that arrive while an
// append is in progress are batched into the next one. An append without a reply is repeated with the same sequence
// number until its outcome is known. The records of an append that the store rejects go back into the queue, where they can be
// withdrawn, and into the next append. If the store would reject the same append again, each request of it is sent on its own, and the
// one that is at fault fails.
package appender

import (
	"context"
	"errors"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// maxQueuedRecords is the maximum number of records waiting for an append: about as many as arrive in two seconds
	// at peak. A single larger request is accepted if no others wait.
	maxQueuedRecords = 4000
	// retryDelay is the delay between two attempts of an append.
	retryDelay = 60 * time.Millisecond
	// maxRetryDelay limits the delay before an append whose reply did not come in time is repeated; the delay doubles with each
	// attempt. Otherwise the repeated appends of many writers keep a slow partition busy for good. While other records wait for the
	// outcome the limit is maxBusyRetryDelay.
	maxRetryDelay     = 2 * time.Second
	maxBusyRetryDelay = 240 * time.Millisecond
	// rejectedRetryTimeout is how long after their first append records that the store rejects are appended again. Appends
	// rejected as fenced or because the store is full are not retried.
	rejectedRetryTimeout = 400 * time.Millisecond
	// slowAppend is the duration from which on an append counts as slow. It is about ten times as long as an append normally takes.
	slowAppend = 150 * time.Millisecond
	// congestionMemory is how long after a slow append the partition is taken to be congested.
	congestionMemory = 2 * time.Second
	// maxBatchRecords is the maximum number of records in one append, unless a single request has more.
	maxBatchRecords = 500
)

// Reasons for appends that the Appender itself rejects or abandons.
const (
	// ReasonQueueFull means that too many records are waiting for an append.
	ReasonQueueFull = verdict.Reason("append_queue_full")
	// ReasonStoreFailing means that the store has not accepted an append for rejectedRetryTimeout, and that other records wait for it
	// to do so.
	ReasonStoreFailing = verdict.Reason("append_store_failing")
	// ReasonTooLarge means that a record, or the records of a call to Append, are larger than the store takes. Nothing was sent.
	ReasonTooLarge = verdict.Reason("append_too_large")
	// ReasonCancelled means that the context of the caller or of the Appender ended before the append completed.
	ReasonCancelled = verdict.Reason("append_given_up")
)

// Store is the part of the store that an Appender uses.
type Store interface {
	Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error)
}

// Appender writes to one partition as one producer. nextSequence is the sequence number of the next append. wake is
// signalled when a request is queued.
type Appender struct {
	store        Store
	partition    store.Partition
	producerName string
	epoch        int64
	nextSequence int64
	limits       Limits
	observe      func(Attempt)

	// mu protects the fields below, and inBatch of the requests.
	mu            sync.Mutex
	queued        []*request
	queuedRecords int
	sending       bool // an append is being sent, or its outcome is unknown
	// failingSince is when the first append failed since the last one that succeeded; zero if the last one succeeded.
	failingSince time.Time
	// sentAt is when the append that is being sent was sent; lastSlow is when an append was last found to be slow.
	sentAt, lastSlow time.Time

	wake chan struct{}
}

// request holds the records of one call to Append.
type request struct {
	ctx     context.Context
	records []store.Record
	done    chan result
	inBatch bool // set while the request is part of an append that is being sent or whose outcome is unknown
	// alone is set if the request is to be sent on its own, because the store has rejected an append of several for good.
	alone bool
	// attemptedAt is when the request was first part of an append; zero for never.
	attemptedAt time.Time
}

// result is the result of a call to Append.
type result struct {
	appended store.AppendResult
	err      error
}

// New returns an Appender that writes as the producer with the given name and epoch, within limits. Nothing is written until Run is
// called. observe is called after each attempt by the goroutine of Run; it may be nil.
func New(s Store, p store.Partition, name string, epoch int64, limits Limits, observe func(Attempt)) *Appender {
	if observe == nil {
		observe = func(Attempt) {}
	}
	return &Appender{store: s, partition: p, producerName: name, epoch: epoch, nextSequence: firstSequence, limits: limits, observe: observe,
		wake: make(chan struct{}, 1)}
}

// Append writes records in one append and returns when they are stored, the append has failed or ctx ends. It fails at once if they
// exceed the limits of the store, if too many records are waiting, or if the store has been failing for rejectedRetryTimeout while other
// records wait. The offsets in the result are those of the whole batch, and are zero if the store's reply
// was lost. Errors carry a verdict that tells whether the records may have been written.
func (a *Appender) Append(ctx context.Context, records []store.Record) (store.AppendResult, error) {
	if err := a.checkSize(records); err != nil {
		return store.AppendResult{}, err
	}
	r := &request{ctx: ctx, records: records, done: make(chan result, 1)}
	a.mu.Lock()
	if a.failing() && (a.sending || len(a.queued) > 0) {
		a.mu.Unlock()
		return store.AppendResult{}, verdict.New(verdict.NotRun, ReasonStoreFailing, nil)
	}
	if a.queuedRecords+len(records) > maxQueuedRecords && a.queuedRecords > 0 {
		a.mu.Unlock()
		return store.AppendResult{}, verdict.New(verdict.NotRun, ReasonQueueFull, nil)
	}
	a.queued = append(a.queued, r)
	a.queuedRecords += len(records)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-r.done:
		return result.appended, result.err
	case <-ctx.Done():
		return store.AppendResult{}, a.withdraw(r)
	}
}

// failing reports whether the store has not accepted an append for rejectedRetryTimeout. The caller holds mu.
func (a *Appender) failing() bool {
	return !a.failingSince.IsZero() && time.Since(a.failingSince) > rejectedRetryTimeout
}

// Congested reports whether an append is or was slow in the last congestionMemory. A partition processes one append at a time, so
// that many writers wait for each other while the store is slow. Records then better go to one writer, which appends them together.
func (a *Appender) Congested() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sentAt.IsZero() && time.Since(a.sentAt) >= slowAppend {
		return true
	}
	return !a.lastSlow.IsZero() && time.Since(a.lastSlow) < congestionMemory
}

// ObserveLatency records how long the store has taken for something else than an append of this writer: to answer a read, or to
// execute an append of another writer.
func (a *Appender) ObserveLatency(took time.Duration) {
	if took < slowAppend {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastSlow = time.Now()
}

// attempting records that an append is being sent.
func (a *Appender) attempting(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = at
}

// maxDelay returns the longest delay before an append whose outcome is unknown is repeated.
func (a *Appender) maxDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queued) > 0 {
		return maxBusyRetryDelay
	}
	return maxRetryDelay
}

// attempted records the result of an append to the store.
func (a *Appender) attempted(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.sentAt) >= slowAppend {
		a.lastSlow = time.Now()
	}
	a.sentAt = time.Time{}
	switch {
	case err == nil, store.HasReason(err, store.ReasonRejected): // the store serves others
		a.failingSince = time.Time{}
	case a.failingSince.IsZero():
		a.failingSince = time.Now()
	}
}

// withdraw removes a request from the queue if it has not been sent or the store has rejected it. It returns the error for the
// caller of Append, with verdict NotRun if the request was removed and MayHaveRun otherwise.
func (a *Appender) withdraw(r *request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.inBatch {
		return verdict.New(verdict.MayHaveRun, ReasonCancelled, r.ctx.Err())
	}
	for i, other := range a.queued {
		if other == r {
			a.queued = append(a.queued[:i], a.queued[i+1:]...)
			a.queuedRecords -= len(r.records)
			break
		}
	}
	return verdict.New(verdict.NotRun, ReasonCancelled, r.ctx.Err())
}

// Run sends queued records until ctx ends. It must be called only once.
func (a *Appender) Run(ctx context.Context) error {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		appended, err := a.writeBatch(ctx, batch)
		switch {
		case store.HasReason(err, store.ReasonRejected) && len(batch) > 1:
			a.separate(batch)
		case !isRejection(err):
			a.finish(batch, result{appended: appended, err: err})
		case a.requeue(batch, err):
			sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// finish gives the result of an append to the callers of its requests.
func (a *Appender) finish(batch []*request, r result) {
	a.mu.Lock()
	a.sending = false
	a.mu.Unlock()
	for _, request := range batch {
		request.done <- r
	}
}

// isRejection reports whether the store has rejected an append and may accept it later.
func isRejection(err error) bool {
	return err != nil && verdict.Of(err) == verdict.NotRun && !store.HasReason(err, store.ReasonFenced) && !store.HasReason(err, store.ReasonFull) &&
		!store.HasReason(err, store.ReasonRejected)
}

// separate puts the requests of a batch back to the front of the queue, from where each is sent on its own.
func (a *Appender) separate(batch []*request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending = false
	for _, r := range batch {
		r.inBatch, r.alone = false, true
		a.queuedRecords += len(r.records)
	}
	a.queued = append(batch, a.queued...)
}

// requeue puts the requests of a rejected batch back to the front of the queue. It fails those whose caller has gone or that
// were first sent more than rejectedRetryTimeout ago. It reports whether any is left.
func (a *Appender) requeue(batch []*request, rejection error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := make([]*request, 0, len(batch)+len(a.queued))
	a.sending = false
	for _, r := range batch {
		r.inBatch = false
		switch {
		case r.ctx.Err() != nil:
			r.done <- result{err: verdict.New(verdict.NotRun, ReasonCancelled, rejection)}
		case time.Since(r.attemptedAt) > rejectedRetryTimeout:
			r.done <- result{err: rejection}
		default:
			remaining = append(remaining, r)
			a.queuedRecords += len(r.records)
		}
	}
	a.queued = append(remaining, a.queued...)
	return len(remaining) > 0
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextBatch removes the requests of the next append from the queue and returns them.
func (a *Appender) nextBatch() []*request {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending = len(a.queued) > 0
	var batch []*request
	records, size := 0, 0
	for len(a.queued) > 0 {
		r := a.queued[0]
		bytes := store.RecordsSize(r.records)
		if len(batch) > 0 && (r.alone || batch[0].alone || records+len(r.records) > maxBatchRecords || a.limits.CallBytes > 0 && size+bytes > a.limits.CallBytes) {
			break
		}
		r.inBatch = true
		if r.attemptedAt.IsZero() {
			r.attemptedAt = time.Now()
		}
		batch = append(batch, r)
		records, size = records+len(r.records), size+bytes
		a.queued = a.queued[1:]
		a.queuedRecords -= len(r.records)
	}
	return batch
}

// writeBatch sends one append. While its outcome is unknown it is repeated, also if the contexts of all its callers have ended,
// because the next append must not be executed before it.
func (a *Appender) writeBatch(ctx context.Context, batch []*request) (store.AppendResult, error) {
	var records []store.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	outcomeUnknown, attempt := false, newAttempt(a.partition, records)
	for delay := retryDelay; ; {
		producer := store.Producer{Name: a.producerName, Epoch: a.epoch, Sequence: a.nextSequence}
		sentAt := time.Now()
		a.attempting(sentAt)
		appended, err := a.store.Append(ctx, store.AppendRequest{Partition: a.partition, Records: records, Producer: &producer})
		a.attempted(err)
		attempt.Number, attempt.Took, attempt.Err = attempt.Number+1, time.Since(sentAt), err
		a.observe(attempt)
		if err == nil {
			a.nextSequence++
			return appended, nil
		}
		var sequenceErr *store.SequenceError
		switch {
		case errors.As(err, &sequenceErr) && !outcomeUnknown:
			a.nextSequence = sequenceErr.Expected
			return store.AppendResult{}, err
		case errors.As(err, &sequenceErr) && sequenceErr.Expected == a.nextSequence+1:
			a.nextSequence++
			return store.AppendResult{}, nil
		case errors.As(err, &sequenceErr):
			return store.AppendResult{}, verdict.New(verdict.MayHaveRun, store.ReasonUnexpectedSequence, err)
		case store.HasReason(err, store.ReasonFenced), store.HasReason(err, store.ReasonFull), store.HasReason(err, store.ReasonRejected):
			return store.AppendResult{}, err
		case verdict.Of(err) != verdict.NotRun:
			outcomeUnknown = true
		case !outcomeUnknown:
			return store.AppendResult{}, err
		}
		if time.Since(sentAt) >= slowAppend {
			delay = min(2*delay, a.maxDelay())
		}
		sleep(ctx, delay)
		if ctx.Err() != nil {
			return store.AppendResult{}, verdict.New(verdict.MayHaveRun, ReasonCancelled, err)
		}
	}
}

// firstSequence follows the sequence number 0 of the empty append by RaiseEpoch. If the store expects another number,
// it reports that number in a SequenceError.
const firstSequence = 1

// RaiseEpoch raises the producer's epoch in the store with an empty append. From then on, the store rejects appends of
// older epochs, including those still in flight, so a new owner calls RaiseEpoch before it reads what previous owners
// stored. The result holds the end of the partition.
func RaiseEpoch(ctx context.Context, s Store, p store.Partition, name string, epoch int64) (store.AppendResult, error) {
	return s.Append(ctx, store.AppendRequest{Partition: p, Producer: &store.Producer{Name: name, Epoch: epoch}})
}
