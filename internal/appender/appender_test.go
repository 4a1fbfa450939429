package appender

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// fakeStore keeps the records of one partition and handles producers as the platform documents it.
type fakeStore struct {
	mu       sync.Mutex
	keys     []string
	epoch    int64
	sequence int64
	// rejected is a key that the store does not accept; empty: none.
	rejected string
	// faults are injected into the next calls, one each.
	faults []fault
	calls  int
	// largestCall is the size of the largest append, in bytes.
	largestCall int
}

type fault int

const (
	reject      fault = iota // the append is rejected
	loseReply                // the append is executed, but no reply arrives
	loseRequest              // the append is not executed, and no reply arrives
)

func (f *fakeStore) Append(_ context.Context, a store.AppendRequest) (store.AppendResult, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.largestCall = max(f.largestCall, store.RecordsSize(a.Records))
	var injected fault = -1
	if len(f.faults) > 0 {
		injected, f.faults = f.faults[0], f.faults[1:]
	}
	switch injected {
	case reject:
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	case loseRequest:
		return store.AppendResult{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	if slices.ContainsFunc(a.Records, func(r store.Record) bool { return r.Key == f.rejected && r.Key != "" }) {
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonRejected, nil)
	}
	switch {
	case a.Producer.Epoch < f.epoch:
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonFenced, nil)
	case a.Producer.Epoch == f.epoch && a.Producer.Sequence == f.sequence:
		return store.AppendResult{End: store.Offset(len(f.keys))}, nil // a repeated append
	case a.Producer.Epoch == f.epoch && a.Producer.Sequence != f.sequence+1:
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonUnexpectedSequence, &store.SequenceError{Expected: f.sequence + 1})
	}
	f.epoch, f.sequence = a.Producer.Epoch, a.Producer.Sequence
	for _, r := range a.Records {
		f.keys = append(f.keys, r.Key)
	}
	if injected == loseReply {
		return store.AppendResult{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	return store.AppendResult{End: store.Offset(len(f.keys))}, nil
}

// runAppender runs a test with an Appender in virtual time.
func runAppender(t *testing.T, f *fakeStore, test func(ctx context.Context, a *Appender)) {
	runLimitedAppender(t, f, Limits{CallBytes: 1 << 20}, test)
}

func runLimitedAppender(t *testing.T, f *fakeStore, limits Limits, test func(ctx context.Context, a *Appender)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := New(f, store.Partition{Topic: "t"}, "p", 1, limits, nil)
		go func() { _ = a.Run(ctx) }() // ends with the context
		test(ctx, a)
		cancel()
		synctest.Wait()
	})
}

func recordWithKey(key string) []store.Record { return []store.Record{{Key: key}} }

func TestConcurrentAppendsAreBatched(t *testing.T) {
	f := &fakeStore{}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		var group sync.WaitGroup
		for _, key := range []string{"a", "b", "c", "d"} {
			group.Go(func() {
				if _, err := a.Append(ctx, recordWithKey(key)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
	})
	if len(f.keys) != 4 || f.calls > 2 {
		t.Errorf("got %d records in %d calls, want 4 in at most 2", len(f.keys), f.calls)
	}
}

func TestRetryAfterLostReplyWritesOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []fault
		calls  int
	}{
		{"the reply is lost", []fault{loseReply}, 2},
		{"the request is lost", []fault{loseRequest}, 2},
		{"rejected, then the reply and the request are lost", []fault{reject, loseReply, loseRequest}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeStore{faults: c.faults}
			runAppender(t, f, func(ctx context.Context, a *Appender) {
				for _, key := range []string{"a", "b"} {
					if _, err := a.Append(ctx, recordWithKey(key)); err != nil {
						t.Error(err)
					}
				}
			})
			if diff := cmp.Diff([]string{"a", "b"}, f.keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRejectedAppendReturnsNotRun(t *testing.T) {
	f := &fakeStore{faults: make([]fault, 50)} // the zero value is reject
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		start := time.Now()
		_, err := a.Append(ctx, recordWithKey("a"))
		if verdict.Of(err) != verdict.NotRun {
			t.Errorf("got verdict %v, want NotRun", verdict.Of(err))
		}
		if took := time.Since(start); took > rejectedRetryTimeout+200*time.Millisecond {
			t.Errorf("Append returned after %v", took)
		}
	})
}

func TestAppendWithUnknownOutcomeReturnsMayHaveRun(t *testing.T) {
	lost := make([]fault, 200)
	for i := range lost {
		lost[i] = loseRequest
	}
	f := &fakeStore{faults: lost}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := a.Append(timeoutCtx, recordWithKey("a")); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("got verdict %v, want MayHaveRun", verdict.Of(err))
		}
		// The next append waits behind the unfinished one and has not been sent.
		timeoutCtx, cancel = context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := a.Append(timeoutCtx, recordWithKey("b")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("got verdict %v, want NotRun", verdict.Of(err))
		}
	})
}

func TestFencedAppendWritesNothing(t *testing.T) {
	f := &fakeStore{epoch: 2}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		if _, err := a.Append(ctx, recordWithKey("a")); !store.HasReason(err, store.ReasonFenced) {
			t.Errorf("got error %v, want ReasonFenced", err)
		}
	})
	if len(f.keys) != 0 {
		t.Error("a fenced append was written")
	}
}

// rejections returns n faults that reject appends.
func rejections(n int) []fault { return make([]fault, n) } // the zero value is reject

// Guards against an unknown outcome for a caller whose record the store has rejected: a caller that gives up between two attempts was
// told that the record may have been written, and could not try again elsewhere.
func TestCallerThatGivesUpBetweenRejectionsKnowsThatNothingWasWritten(t *testing.T) {
	f := &fakeStore{faults: rejections(50)}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		for _, patience := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
			callerCtx, cancel := context.WithTimeout(ctx, patience)
			if _, err := a.Append(callerCtx, recordWithKey("a")); verdict.Of(err) != verdict.NotRun {
				t.Errorf("after %v: got verdict %v, want NotRun", patience, verdict.Of(err))
			}
			cancel()
		}
	})
	if len(f.keys) != 0 {
		t.Error("a withdrawn record was written")
	}
}

// Guards against rejections that add up: records that were queued behind a rejected append waited for its time limit before
// their own began, longer than their callers wait.
func TestRecordsBehindRejectedAppendFailWithinTheSameTime(t *testing.T) {
	f := &fakeStore{faults: rejections(50)}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				start := time.Now()
				if _, err := a.Append(ctx, recordWithKey("a")); verdict.Of(err) != verdict.NotRun {
					t.Errorf("got verdict %v, want NotRun", verdict.Of(err))
				}
				if took := time.Since(start); took > rejectedRetryTimeout+200*time.Millisecond {
					t.Errorf("record %d failed after %v", i, took)
				}
			})
		}
		group.Wait()
	})
}

// Guards against lost or reordered records when an append is rejected while others wait.
func TestRejectedRecordsAreWrittenInOrderOnceTheStoreAccepts(t *testing.T) {
	f := &fakeStore{faults: rejections(3)}
	runAppender(t, f, func(ctx context.Context, a *Appender) {
		var group sync.WaitGroup
		for i, key := range []string{"a", "b", "c"} {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				if _, err := a.Append(ctx, recordWithKey(key)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
	})
	if diff := cmp.Diff([]string{"a", "b", "c"}, f.keys); diff != "" {
		t.Error(diff)
	}
}

// Guards against one record that the store never accepts, because of its size for example, and that keeps all later ones of the same
// writer from being stored.
func TestRecordThatTheStoreRejectsForGoodFailsAlone(t *testing.T) {
	for name, faults := range map[string][]fault{"at once": nil, "after an attempt without a reply": {loseRequest}, "after a rejection for now": {reject}} {
		t.Run(name, func(t *testing.T) {
			f := &fakeStore{rejected: "bad", faults: faults}
			runAppender(t, f, func(ctx context.Context, a *Appender) {
				var group sync.WaitGroup
				for _, key := range []string{"first", "a", "bad", "b"} {
					group.Go(func() {
						_, err := a.Append(ctx, recordWithKey(key))
						if (key == "bad") != store.HasReason(err, store.ReasonRejected) {
							t.Errorf("record %s: got %v", key, err)
						}
					})
					time.Sleep(time.Millisecond) // the first one is being sent when the others arrive
				}
				group.Wait()
				if _, err := a.Append(ctx, recordWithKey("later")); err != nil {
					t.Error(err)
				}
			})
			if diff := cmp.Diff([]string{"first", "a", "b", "later"}, f.keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against appends that the store does not take because of their size.
func TestAppendsStayWithinLimits(t *testing.T) {
	limits := Limits{RecordBytes: 50, CallBytes: 130}
	records := make([]store.Record, 9)
	var keys []string
	for i := range records {
		keys = append(keys, fmt.Sprint("k", i))
		records[i] = store.Record{Key: keys[i], Value: make([]byte, 5*i)}
	}
	for _, c := range []struct {
		name    string
		faults  []fault
		written int
		verdict verdict.Verdict
	}{
		{"the store takes all", nil, 9, verdict.Ran},
		{"the store takes none from the second append on", append([]fault{loseReply, -1}, rejections(50)...), 6, verdict.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeStore{faults: c.faults}
			runLimitedAppender(t, f, limits, func(ctx context.Context, a *Appender) {
				if err := a.AppendInOrder(ctx, records); verdict.Of(err) != c.verdict {
					t.Errorf("got %v, want verdict %v", err, c.verdict)
				}
				for _, large := range [][]store.Record{records, {{Key: "large", Value: make([]byte, limits.RecordBytes)}}} {
					if _, err := a.Append(ctx, large); !store.HasReason(err, ReasonTooLarge) || verdict.Of(err) != verdict.NotRun {
						t.Errorf("%d records: got %v, want ReasonTooLarge", len(large), err)
					}
				}
			})
			if diff := cmp.Diff(keys[:c.written], f.keys); diff != "" {
				t.Error(diff)
			}
			if f.largestCall > limits.CallBytes {
				t.Errorf("an append has %d bytes", f.largestCall)
			}
		})
	}
}

// Guards against callers that are held while it is known that the store accepts nothing: only one request waits and tries, the
// others fail at once with nothing written. The first one after the outage succeeds.
func TestAppendsFailAtOnceDuringLongOutage(t *testing.T) {
	for name, during := range map[string]fault{"rejections": reject, "no replies": loseRequest} {
		t.Run(name, func(t *testing.T) {
			outage := make([]fault, 20)
			for i := range outage {
				outage[i] = during
			}
			f := &fakeStore{faults: outage}
			runAppender(t, f, func(ctx context.Context, a *Appender) {
				var group sync.WaitGroup
				group.Go(func() { _, _ = a.Append(ctx, recordWithKey("probe")) }) // waits during the outage
				time.Sleep(rejectedRetryTimeout + 200*time.Millisecond)
				group.Go(func() { _, _ = a.Append(ctx, recordWithKey("probe")) })
				time.Sleep(10 * time.Millisecond)
				start := time.Now()
				if _, err := a.Append(ctx, recordWithKey("refused")); verdict.Of(err) != verdict.NotRun {
					t.Errorf("got verdict %v, want NotRun", verdict.Of(err))
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("Append returned after %v, want at once", took)
				}
				time.Sleep(3 * time.Second)
				if _, err := a.Append(ctx, recordWithKey("after")); err != nil {
					t.Error(err)
				}
				group.Wait()
			})
			for _, key := range f.keys {
				if key == "refused" {
					t.Error("a refused record was written")
				}
			}
		})
	}
}

// slowStore takes a fixed time for each append, and gives no reply if that is longer than the timeout of a call.
type slowStore struct {
	took  atomic.Int64
	calls atomic.Int64
}

func newSlowStore(took time.Duration) *slowStore {
	s := &slowStore{}
	s.took.Store(int64(took))
	return s
}

const storeTimeout = 1500 * time.Millisecond

func (s *slowStore) Append(context.Context, store.AppendRequest) (store.AppendResult, error) {
	s.calls.Add(1)
	took := time.Duration(s.took.Load())
	time.Sleep(min(took, storeTimeout))
	if took > storeTimeout {
		return store.AppendResult{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	return store.AppendResult{}, nil
}

// Guards against nodes that go on appending on their own to a partition that is slow for all of them.
func TestCongestionIsKnownWhileAppendsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSlowStore(5 * time.Millisecond)
		a := New(s, store.Partition{Topic: "t"}, "p", 1, Limits{CallBytes: 1 << 20}, nil)
		go func() { _ = a.Run(ctx) }() // ends with the context
		appendOne := func() { _, _ = a.Append(ctx, recordWithKey("a")) }
		appendOne()
		if a.Congested() {
			t.Error("congested after an append of 5 ms")
		}
		s.took.Store(int64(time.Second))
		go appendOne()
		time.Sleep(slowAppend + time.Millisecond)
		if !a.Congested() {
			t.Error("not congested while an append is slow")
		}
		time.Sleep(time.Second)
		if !a.Congested() {
			t.Error("not congested right after a slow append")
		}
		time.Sleep(congestionMemory)
		if a.Congested() {
			t.Error("still congested after the memory has passed")
		}
		a.ObserveLatency(slowAppend)
		if !a.Congested() {
			t.Error("not congested after another call was slow")
		}
		cancel()
		time.Sleep(2 * storeTimeout) // the store's calls do not end with the context
	})
}

// Guards against a slow partition that repeated appends keep busy: appends that are executed later than their callers wait
// are repeated less and less often.
func TestAppendsWithoutReplyAreRepeatedLessAndLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSlowStore(time.Minute)
		a := New(s, store.Partition{Topic: "t"}, "p", 1, Limits{CallBytes: 1 << 20}, nil)
		go func() { _ = a.Run(ctx) }() // ends with the context
		go func() { _, _ = a.Append(ctx, recordWithKey("a")) }()
		time.Sleep(30 * time.Second)
		// Each attempt takes storeTimeout, so that without longer delays there are 19 in 30 s.
		if calls, most := s.calls.Load(), int64(11); calls > most {
			t.Errorf("%d attempts, want at most %d", calls, most)
		}
		cancel()
		time.Sleep(2 * storeTimeout) // the store's calls do not end with the context
	})
}
