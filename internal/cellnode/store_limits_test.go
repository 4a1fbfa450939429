package cellnode

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Guards against owners that store nothing any more because a round, or the progress of one step, is larger than an append may be.
func TestRoundsStayWithinLimitsOfStore(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 0)
	d.store.limits = appender.Limits{RecordBytes: 500, CallBytes: 700}
	d.startNode(0)
	d.waitForOwner()
	many, other := testIDPrefix+"60", testIDPrefix+"61"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+many, "many", http.StatusOK, "")
	d.requestUntil(10*time.Second, 0, http.MethodGet, "/q/"+many, "", http.StatusOK, "completed")
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+other, "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+other, "", http.StatusOK, "completed")
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if d.store.rejected > 0 {
		t.Errorf("the store rejected %d appends", d.store.rejected)
	}
}

// Guards against a job whose record is too large for the store only with its key: no node stored anything after it, since each repeated
// its append for ever and the caller asked the next one.
func TestJobIsStoredOrRefusedAsTooLargeByEachNode(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 0)
	d.store.limits.RecordBytes, d.bodyBytes = 600, 700
	d.startNode(0)
	d.startNode(1)
	d.waitForOwner()
	statuses := make(map[int]int)
	for size := 100; size <= 600; size += 5 { // above and below the limit
		id := fmt.Sprintf("%016x", size)
		first, _ := d.request(0, http.MethodPost, "/q/"+id, strings.Repeat("x", size))
		second, _ := d.request(1, http.MethodPost, "/q/"+id, strings.Repeat("x", size))
		if first != second || first != http.StatusOK && first != http.StatusRequestEntityTooLarge {
			t.Errorf("a job of %d bytes: got status %d and then %d, want 200 or 413, and the same", size, first, second)
		}
		statuses[first]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusRequestEntityTooLarge] == 0 {
		t.Errorf("got statuses %v, want both", statuses)
	}
	if d.store.rejected > 0 {
		t.Errorf("the store rejected %d appends", d.store.rejected)
	}
}

// rejectingStore rejects progress for good, until it accepts.
type rejectingStore struct {
	Store
	accepts  *atomic.Bool
	rejected *atomic.Int64
}

func (s rejectingStore) Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error) {
	if a.Partition.Topic == jobrecord.ProgressTopic && len(a.Records) > 0 && !s.accepts.Load() {
		s.rejected.Add(1)
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonRejected, nil)
	}
	return s.Store.Append(ctx, a)
}

// Guards against an owner that plans and sends rounds as fast as it can while the store rejects them, and against one that does not go
// on once the store accepts them.
func TestRejectedRoundsAreSentAgainAfterDelay(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 0)
	var accepts atomic.Bool
	var rejected atomic.Int64
	d.wrapStore = func(s Store) Store { return rejectingStore{s, &accepts, &rejected} }
	d.startNode(0)
	d.waitForOwner()
	id := testIDPrefix + "62"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	time.Sleep(2500 * time.Millisecond)
	if n := rejected.Load(); n < 1 || n > 4 {
		t.Errorf("%d rounds were sent in 2.5 s, want one a second", n)
	}
	accepts.Store(true)
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}
