// Package appender writes to a keyed topic: appends that arrive while one is under way go together in the next, and
// one without an answer is sent again with the same sequence number until it is settled.
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
	// maxWaiting bounds the records that wait for an append: two seconds of the heaviest traffic.
	maxWaiting = 4000
	// retryPause is between two tries of an append.
	retryPause = 60 * time.Millisecond
	// patience is for how long an append that the store refuses is tried again.
	patience = 400 * time.Millisecond
	// maxBatch bounds the records of one append.
	maxBatch = 500
)

// Reasons of appends that were not tried.
const (
	ReasonQueueFull = verdict.Reason("append_queue_full")
	ReasonGivenUp   = verdict.Reason("append_given_up")
)

// Store is the call that an Appender uses.
type Store interface {
	Append(ctx context.Context, a store.Append) (store.Appended, error)
}

// Appender writes to one partition under one producer.
type Appender struct {
	store     Store
	partition store.Partition
	name      string
	epoch     int64
	sequence  int64
	maxBytes  int

	mu      sync.Mutex
	waiting []*request
	records int
	wake    chan struct{}
}

// request is the records of one caller.
type request struct {
	ctx     context.Context
	records []store.Record
	done    chan result
	taken   bool
}

type result struct {
	appended store.Appended
	err      error
}

// New returns an Appender that writes with an epoch that the producer has raised. Run must be called for it to write.
func New(s Store, p store.Partition, name string, epoch int64, maxBytes int) *Appender {
	return &Appender{store: s, partition: p, name: name, epoch: epoch, sequence: firstSequence, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// Append writes records and returns when they are stored or ctx ends. Its errors carry a verdict.
func (a *Appender) Append(ctx context.Context, records []store.Record) (store.Appended, error) {
	r := &request{ctx: ctx, records: records, done: make(chan result, 1)}
	a.mu.Lock()
	if a.records+len(records) > maxWaiting && a.records > 0 {
		a.mu.Unlock()
		return store.Appended{}, verdict.New(verdict.NotRun, ReasonQueueFull, nil)
	}
	a.waiting = append(a.waiting, r)
	a.records += len(records)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-r.done:
		return result.appended, result.err
	case <-ctx.Done():
		return store.Appended{}, a.abandon(r)
	}
}

// abandon takes a request back if it was not sent yet.
func (a *Appender) abandon(r *request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.taken {
		return verdict.New(verdict.MayHaveRun, ReasonGivenUp, r.ctx.Err())
	}
	for i, other := range a.waiting {
		if other == r {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			a.records -= len(r.records)
			break
		}
	}
	return verdict.New(verdict.NotRun, ReasonGivenUp, r.ctx.Err())
}

// Run writes until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	for {
		batch := a.next()
		if len(batch) == 0 {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		appended, err := a.write(ctx, batch)
		for _, r := range batch {
			r.done <- result{appended: appended, err: err}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// next takes the requests of the next append.
func (a *Appender) next() []*request {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*request
	records, size := 0, 0
	for len(a.waiting) > 0 {
		r := a.waiting[0]
		bytes := sizeOf(r.records)
		if len(batch) > 0 && (records+len(r.records) > maxBatch || size+bytes > a.maxBytes) {
			break
		}
		r.taken = true
		batch = append(batch, r)
		records, size = records+len(r.records), size+bytes
		a.waiting = a.waiting[1:]
		a.records -= len(r.records)
	}
	return batch
}

func sizeOf(records []store.Record) int {
	size := 0
	for i := range records {
		size += len(records[i].Key) + len(records[i].Value) + recordOverhead
	}
	return size
}

// recordOverhead is the length of a record and of its key.
const recordOverhead = 5

// write sends one append until it is settled.
func (a *Appender) write(ctx context.Context, batch []*request) (store.Appended, error) {
	var records []store.Record
	for _, r := range batch {
		records = append(records, r.records...)
	}
	began := time.Now()
	doubt := false
	for {
		producer := store.Producer{Name: a.name, Epoch: a.epoch, Sequence: a.sequence}
		appended, err := a.store.Append(ctx, store.Append{Partition: a.partition, Records: records, Producer: &producer})
		if err == nil {
			a.sequence++
			return appended, nil
		}
		var sequence *store.SequenceError
		switch {
		case errors.As(err, &sequence):
			switch {
			case !doubt:
				a.sequence = sequence.Expected
			case sequence.Expected == a.sequence+1:
				a.sequence++
				return store.Appended{}, nil
			default:
				return store.Appended{}, verdict.New(verdict.MayHaveRun, store.ReasonSequence, err)
			}
		case store.Is(err, store.ReasonFenced), store.Is(err, store.ReasonFull):
			return store.Appended{}, err
		case verdict.Of(err) != verdict.NotRun:
			doubt = true
		case !doubt && time.Since(began) > patience:
			return store.Appended{}, err
		}
		if !a.pause(ctx, doubt, batch) {
			if doubt {
				return store.Appended{}, verdict.New(verdict.MayHaveRun, ReasonGivenUp, err)
			}
			return store.Appended{}, verdict.New(verdict.NotRun, ReasonGivenUp, err)
		}
	}
}

// pause waits before the next try and tells whether there is to be one. An append in doubt is tried until it is
// settled, since the next one must not overtake it.
func (a *Appender) pause(ctx context.Context, doubt bool, batch []*request) bool {
	if !doubt && allGone(batch) {
		return false
	}
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func allGone(batch []*request) bool {
	for _, r := range batch {
		if r.ctx.Err() == nil {
			return false
		}
	}
	return true
}

// firstSequence follows that of the empty append with which an epoch is raised.
const firstSequence = 1

// Raise sets the producer's epoch at the store with an empty append, which shuts out all that older epochs still
// have under way, and returns the end of the partition.
func Raise(ctx context.Context, s Store, p store.Partition, name string, epoch int64) (store.Appended, error) {
	return s.Append(ctx, store.Append{Partition: p, Producer: &store.Producer{Name: name, Epoch: epoch}})
}
