package cellnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/store"
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
	d := newTestCluster(t, 0)
	d.prepare = func(n *Node) {
		n.peers.client = &http.Client{Transport: &lostAnswers{RoundTripper: http.DefaultTransport}}
	}
	d.startNode(0)
	d.startNode(1)
	owner := d.waitForOwner()
	other := d.nodes[1-owner].node
	wrapped := &disconnectableStore{Store: d.store}
	wrapped.disconnected.Store(true)
	other.jobsAppender = appender.New(wrapped, jobsPartition, "disconnected", 1, appender.Limits{CallBytes: 1 << 20}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = other.jobsAppender.Run(ctx) }() // ends with the context
	if status, _ := d.request(1-owner, http.MethodPost, "/q/"+testIDPrefix+"07", "spec"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}

// countingStore counts the appends to the topic of jobs.
type countingStore struct {
	Store
	appends atomic.Int64
}

func (s *countingStore) Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error) {
	if a.Partition == jobsPartition {
		s.appends.Add(1)
	}
	return s.Store.Append(ctx, a)
}

// congestedNode returns a node that does not own the cell and has seen slow answers of the store, and its appends.
func congestedNode(t *testing.T, d *testCluster) (index int, appends *countingStore) {
	index = 1 - d.waitForOwner()
	n := d.nodes[index].node
	appends = &countingStore{Store: d.store}
	n.jobsAppender = appender.New(appends, jobsPartition, "congested", 1, appender.Limits{CallBytes: 1 << 20}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.jobsAppender.Run(ctx) }() // ends with the context
	n.jobsAppender.ObserveLatency(time.Second)
	return index, appends
}

// Pattern: the store answers 40 to 60 times as slowly as usual, and appends to a partition one at a time. Every node appended the
// jobs that it had accepted, so that each append waited for those of all other nodes, and callers got no answer in time.
func TestOwnerStoresRecordsOfAllNodesWhileAppendsAreSlow(t *testing.T) {
	d := newTestCluster(t, 2)
	index, appends := congestedNode(t, d)
	id := testIDPrefix + "08"
	if status, _ := d.request(index, http.MethodPost, "/q/"+id, "spec"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	if n := appends.appends.Load(); n != 0 {
		t.Errorf("the node sent %d appends of its own", n)
	}
	d.requestUntil(5*time.Second, index, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

// Guards against jobs that are refused although this node could store them: the owner has gone while appends were slow.
func TestNodeStoresRecordItselfIfOwnerIsGone(t *testing.T) {
	d := newTestCluster(t, 0)
	var gone atomic.Bool
	d.prepare = func(n *Node) {
		n.peers.client = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			if gone.Load() {
				return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
			}
			return http.DefaultTransport.RoundTrip(r)
		})}
	}
	d.startNode(0)
	d.startNode(1)
	index, appends := congestedNode(t, d)
	gone.Store(true)
	if status, _ := d.request(index, http.MethodPost, "/q/"+testIDPrefix+"09", "spec"); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	if appends.appends.Load() == 0 {
		t.Error("the node sent no append")
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
