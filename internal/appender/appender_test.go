package appender

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// fakeStore keeps the records of one partition and treats producers as the platform's pages say.
type fakeStore struct {
	mu       sync.Mutex
	keys     []string
	epoch    int64
	sequence int64
	// faults are the fates of the next calls.
	faults []fault
	calls  int
}

type fault int

const (
	refuse     fault = iota // nothing is done
	loseAnswer              // it is done
	loseCall                // it is not done, and nobody knows
)

func (f *fakeStore) Append(_ context.Context, a store.Append) (store.Appended, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var fate fault = -1
	if len(f.faults) > 0 {
		fate, f.faults = f.faults[0], f.faults[1:]
	}
	switch fate {
	case refuse:
		return store.Appended{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	case loseCall:
		return store.Appended{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	switch {
	case a.Producer.Epoch < f.epoch:
		return store.Appended{}, verdict.New(verdict.NotRun, store.ReasonFenced, nil)
	case a.Producer.Epoch == f.epoch && a.Producer.Sequence == f.sequence:
		return store.Appended{End: store.Offset(len(f.keys))}, nil // a repeat
	case a.Producer.Epoch == f.epoch && a.Producer.Sequence != f.sequence+1:
		return store.Appended{}, verdict.New(verdict.NotRun, store.ReasonSequence, &store.SequenceError{Expected: f.sequence + 1})
	}
	f.epoch, f.sequence = a.Producer.Epoch, a.Producer.Sequence
	for _, r := range a.Records {
		f.keys = append(f.keys, r.Key)
	}
	if fate == loseAnswer {
		return store.Appended{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	return store.Appended{End: store.Offset(len(f.keys))}, nil
}

// run runs a test with an appender in virtual time.
func run(t *testing.T, f *fakeStore, test func(ctx context.Context, a *Appender)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := New(f, store.Partition{Topic: "t"}, "p", 1, 1<<20)
		go func() { _ = a.Run(ctx) }() // ends with the context
		test(ctx, a)
		cancel()
		synctest.Wait()
	})
}

func one(key string) []store.Record { return []store.Record{{Key: key}} }

func TestAppendsGoTogether(t *testing.T) {
	f := &fakeStore{}
	run(t, f, func(ctx context.Context, a *Appender) {
		var group sync.WaitGroup
		for _, key := range []string{"a", "b", "c", "d"} {
			group.Go(func() {
				if _, err := a.Append(ctx, one(key)); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
	})
	if len(f.keys) != 4 || f.calls > 2 {
		t.Errorf("%d records in %d calls", len(f.keys), f.calls)
	}
}

func TestLostAnswersAreSettled(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []fault
		calls  int
	}{
		{"the answer is lost", []fault{loseAnswer}, 2},
		{"the call is lost", []fault{loseCall}, 2},
		{"it is refused and then lost", []fault{refuse, loseAnswer, loseCall}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeStore{faults: c.faults}
			run(t, f, func(ctx context.Context, a *Appender) {
				for _, key := range []string{"a", "b"} {
					if _, err := a.Append(ctx, one(key)); err != nil {
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

func TestRefusedAppendHasNotRun(t *testing.T) {
	f := &fakeStore{faults: make([]fault, 50)} // all refused
	run(t, f, func(ctx context.Context, a *Appender) {
		began := time.Now()
		_, err := a.Append(ctx, one("a"))
		if verdict.Of(err) != verdict.NotRun {
			t.Errorf("verdict %v", verdict.Of(err))
		}
		if took := time.Since(began); took > patience+200*time.Millisecond {
			t.Errorf("it was refused after %v", took)
		}
	})
}

func TestUnsureAppendIsNotCalledNotRun(t *testing.T) {
	lost := make([]fault, 200)
	for i := range lost {
		lost[i] = loseCall
	}
	f := &fakeStore{faults: lost}
	run(t, f, func(ctx context.Context, a *Appender) {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := a.Append(limited, one("a")); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("verdict %v", verdict.Of(err))
		}
		// The next one waits behind it and was not sent.
		limited, cancel = context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := a.Append(limited, one("b")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("verdict %v", verdict.Of(err))
		}
	})
}

func TestFencedAppenderStops(t *testing.T) {
	f := &fakeStore{epoch: 2}
	run(t, f, func(ctx context.Context, a *Appender) {
		if _, err := a.Append(ctx, one("a")); !store.Is(err, store.ReasonFenced) {
			t.Errorf("error %v", err)
		}
	})
	if len(f.keys) != 0 {
		t.Error("a fenced append was written")
	}
}
