package cellnode

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/appender"
)

// Pattern: the store turns some nodes away and serves the others. Such a node did not know the owner any more, which it looked
// up in the store, and refused every job.
func TestNodeThatTheStoreTurnsAwayAcceptsViaOwner(t *testing.T) {
	d := newTestCluster(t, 2)
	other := 1 - d.waitForOwner()
	n := d.nodes[other].node
	id := testIDPrefix + "05"
	d.requestUntil(2*time.Second, other, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	d.nodes[other].link.killed.Store(true)
	for n.membership(0).follows() || n.storeReachable() {
		time.Sleep(20 * time.Millisecond)
	}
	id = testIDPrefix + "06"
	if status, _ := d.request(other, http.MethodPost, "/q/"+id, "spec"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	d.requestUntil(5*time.Second, other, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

// lostAnswers loses the answer to the first request that asks to store a record.
type lostAnswers struct {
	http.RoundTripper
	lost atomic.Bool
}

func (l *lostAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/Accept") && l.lost.CompareAndSwap(false, true) {
		return nil, errors.New("connection reset")
	}
	return l.RoundTripper.RoundTrip(r)
}

// Pattern: the store turns a node away, and the owner's answer is lost. The caller was told after less than a second that the
// outcome is unknown, although it would have waited for the second answer.
func TestUnknownOutcomeIsSettledWhileTheCallerWaits(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	other := d.nodes[1-owner].node
	wrapped := &disconnectableStore{Store: d.store}
	wrapped.disconnected.Store(true)
	other.jobsAppender = appender.New(wrapped, jobsPartition, "disconnected", 1, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = other.jobsAppender.Run(ctx) }() // ends with the context
	other.peers.client = &http.Client{Transport: &lostAnswers{RoundTripper: http.DefaultTransport}}
	if status, _ := d.request(1-owner, http.MethodPost, "/q/"+testIDPrefix+"07", "spec"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}
