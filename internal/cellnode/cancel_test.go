package cellnode

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// lateReadStore delays pages with new records of the jobs topic while late is set, and fails lookups of jobs while away is set.
type lateReadStore struct {
	Store
	late, away *atomic.Bool
}

func (s lateReadStore) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	page, err := s.Store.Read(ctx, p, from, wait)
	for p == jobsPartition && len(page.Records) > 0 && s.late.Load() && ctx.Err() == nil {
		sleep(ctx, 5*time.Millisecond)
	}
	return page, err
}

func (s lateReadStore) List(ctx context.Context, p store.Partition, after string) (store.ListPage, error) {
	if strings.HasPrefix(after, "s/") && s.away.Load() {
		return store.ListPage{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	return s.Store.List(ctx, p, after)
}

// Guards against a cancellation that is answered "no such job" and dropped, because the owner has not read the accepted job yet.
func TestCancellationOvertakesItsJob(t *testing.T) {
	d := newTestCluster(t, 0)
	var late, away atomic.Bool
	d.wrapStore = func(s Store) Store { return lateReadStore{s, &late, &away} }
	d.startNode(0)
	d.startNode(1)
	owner := d.waitForOwner()
	for i, c := range []struct {
		name        string
		submit      bool
		node        int
		away        bool
		status      int
		finalStatus int
		state       string
	}{
		{"at the owner", true, owner, false, http.StatusOK, http.StatusOK, "cancelled"},
		{"at another node", true, 1 - owner, false, http.StatusOK, http.StatusOK, "cancelled"},
		{"lookup without an answer", true, 1 - owner, true, http.StatusServiceUnavailable, http.StatusOK, "cancelled"},
		{"job that never was", false, 1 - owner, false, http.StatusGone, http.StatusGone, ""},
		{"job that never was, lookup without an answer", false, owner, true, http.StatusServiceUnavailable, http.StatusGone, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := fmt.Sprintf("/q/%s3%d", testIDPrefix, i)
			d.requestUntil(time.Second, owner, http.MethodGet, path, "", http.StatusGone, "") // the owner's newest read is recent
			late.Store(true)
			away.Store(c.away)
			if c.submit {
				d.requestUntil(time.Second, 0, http.MethodPost, path, "spec", http.StatusOK, "")
			}
			status, _ := d.request(c.node, http.MethodDelete, path, "")
			if status != c.status {
				t.Errorf("the cancellation was answered with %d, want %d", status, c.status)
			}
			late.Store(false)
			away.Store(false)
			if status != http.StatusOK {
				d.requestUntil(3*time.Second, c.node, http.MethodDelete, path, "", c.finalStatus, "")
			}
			d.requestUntil(3*time.Second, c.node, http.MethodGet, path, "", c.finalStatus, c.state)
		})
	}
}

// Guards against a lookup that takes the record of another job, or one that was deleted, for that of the job.
func TestJobLookup(t *testing.T) {
	d := newTestCluster(t, 1)
	value := func(key string, deleted bool) store.Record {
		if deleted {
			return store.Record{Key: key}
		}
		return store.Record{Key: key, Value: []byte{1}}
	}
	id := func(number int) jobs.ID { return jobs.ID(fmt.Sprintf("%s4%d", testIDPrefix, number)) }
	records := []store.Record{
		value(jobrecord.JobKey(id(1), "x", 0), false), value(jobrecord.JobKey(id(2), "x", 3), false),
		value(jobrecord.JobKey(id(3), "x", 0), true), value(jobrecord.CancelKey(id(5)), false),
	}
	d.store.mu.Lock()
	d.store.topics[topicKey(jobsPartition)] = records
	d.store.mu.Unlock()
	for number, want := range map[int]struct {
		cell   int
		stored bool
	}{0: {0, false}, 1: {0, true}, 2: {3, true}, 3: {0, false}, 4: {0, false}, 5: {0, false}} {
		cell, stored, err := d.nodes[0].node.lookUpJob(t.Context(), id(number))
		if err != nil || stored != want.stored || cell != want.cell {
			t.Errorf("job %d: stored %v in cell %d (%v), want %+v", number, stored, cell, err, want)
		}
	}
}
