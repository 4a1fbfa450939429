package cellnode

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// unreadableJobs fails all reads of the jobs topic while unreadable is set.
type unreadableJobs struct {
	Store
	unreadable *atomic.Bool
}

func (s unreadableJobs) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	if p == jobsPartition && s.unreadable.Load() {
		return store.Page{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	return s.Store.Read(ctx, p, from, wait)
}

// Guards against a count of pending jobs without those that were accepted while their owner could not read them, as one that was cut off
// gives when it is reached again.
func TestOwnerThatCannotReadJobsDoesNotCountThem(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 0)
	var unreadable atomic.Bool
	d.wrapStore = func(s Store) Store { return unreadableJobs{s, &unreadable} }
	d.startNode(0)
	d.waitForOwner()
	d.requestUntil(2*time.Second, 0, http.MethodGet, "/q/", "", http.StatusOK, "0")
	unreadable.Store(true)
	time.Sleep(jobsReadWait + maxJobsReadAge)
	d.requestUntil(time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"70", "spec", http.StatusOK, "")
	if status, body := d.request(0, http.MethodGet, "/q/", ""); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d and count %s, want 503", status, body)
	}
	unreadable.Store(false)
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/", "", http.StatusOK, "0")
}
