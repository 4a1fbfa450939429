package cellnode

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// writeEvacuation has the operator's topic of a cluster contain a record of a request of evacuation.
func (m *memoryStore) writeEvacuation(domain, value string) {
	r := store.Record{Key: "evacuate/" + domain}
	if value != "" {
		r.Value = []byte(value)
	}
	_, _ = m.Append(context.Background(), store.AppendRequest{Partition: store.Partition{Topic: "config"}, Records: []store.Record{r}})
}

// blockingStore fails the reads of the topic of the configuration, but not its listings, while blocked, and lets the reads that
// wait hang while silent.
type blockingStore struct {
	Store
	blocked, silent atomic.Bool
}

func (s *blockingStore) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	if p.Topic == "config" && s.blocked.Load() {
		return store.Page{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	if p.Topic == "config" && wait > 0 && s.silent.Load() {
		sleep(ctx, wait+900*time.Millisecond)
		return store.Page{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, nil)
	}
	return s.Store.Read(ctx, p, from, wait)
}

// startCount returns the number of start orders that the worker has carried out.
func (m *memoryWorker) startCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, n := range m.starts {
		count += n
	}
	return count
}

// Guards against a new owner that starts tasks before it knows the evacuated failure domains, for instance after a restart of
// all nodes.
func TestNewOwnerKnowsEvacuationsBeforeItStartsTasks(t *testing.T) {
	d := newTestCluster(t, 0)
	blocking := &blockingStore{Store: d.store}
	d.wrapStore = func(Store) Store { return blocking }
	blocking.blocked.Store(true)
	d.store.writeEvacuation("w", "{}") // the domain of the worker
	d.startNode(0)
	id := testIDPrefix + "01"
	d.waitForOwner()
	time.Sleep(500 * time.Millisecond)
	if o := d.nodes[0].node.membership(0).owner.Load(); o != nil && o.isLoaded() {
		t.Fatal("the owner has loaded its state without the requests of evacuations")
	}
	blocking.blocked.Store(false)
	d.requestUntil(5*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	time.Sleep(500 * time.Millisecond)
	if count := d.worker.startCount(); count != 0 {
		t.Fatalf("%d tasks were started in an evacuated failure domain", count)
	}
	d.store.writeEvacuation("w", "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

// Guards against an owner that learns of a request only when its long read ends, which takes more than two seconds if the
// connection is silent.
func TestOwnerLearnsOfEvacuationWhileLongReadIsSilent(t *testing.T) {
	d := newTestCluster(t, 0)
	silent := &blockingStore{Store: d.store}
	d.wrapStore = func(Store) Store { return silent }
	d.startNode(0)
	n := d.nodes[0].node
	settings := *n.cellSettings.Load()
	settings.MaxEvacuationAge = 3500 * time.Millisecond
	n.cellSettings.Store(&settings)
	d.waitForOwner()
	silent.silent.Store(true)
	time.Sleep(configReadWait) // the next long read gets no answer
	written := boottime.Now()
	d.store.writeEvacuation("w", "{}")
	for !n.operatorTopic.view.Load().Set.Contains("w") {
		if boottime.Now()-written > evacuation.MaxAge(5*time.Second) {
			t.Fatal("the request is not known in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an evacuation that lasts although it was withdrawn, because the record of the withdrawal has been deleted.
func TestHistoryDroppedBetweenRequestAndWithdrawal(t *testing.T) {
	Convey("Given a node that knows of a request", t, func() {
		m := newMemoryStore()
		m.topics["config"] = []store.Record{{Key: "config", Value: []byte("1")}}
		m.writeEvacuation("z", "{}")
		n := New(Settings{FailureDomains: []string{"y", "z"}}, Platform{Store: m, Topics: Topics{
			Config: store.Partition{Topic: "config"}, ConfigKey: "config",
			DecodeConfig: func([]byte) (*queue.Config, error) { return &queue.Config{Version: 1}, nil },
		}}, "n", zap.NewNop())
		topic := n.operatorTopic
		So(topic.read(context.Background(), 0), ShouldBeNil)
		So(topic.view.Load().Set.Domains(), ShouldResemble, []string{"z"})
		So(topic.count(), ShouldEqual, 1)
		Convey("it lists the topic again once unread records were deleted, and finds the request withdrawn", func() {
			trimming := &trimmingStore{Store: m}
			topic.node.platform.Store = trimming
			m.mu.Lock()
			m.topics["config"] = append(m.topics["config"][:1], store.Record{Key: "config", Value: []byte("1"), Offset: 7})
			m.mu.Unlock()
			trimming.trimmed.Store(true)
			So(topic.read(context.Background(), 0), ShouldBeNil)
			trimming.trimmed.Store(false)
			before := boottime.Now()
			So(topic.read(context.Background(), 0), ShouldBeNil)
			So(topic.view.Load().Set.Domains(), ShouldBeEmpty)
			So(topic.view.Load().ConfirmedAt, ShouldBeGreaterThanOrEqualTo, before)
			So(topic.count(), ShouldEqual, 0)
		})
	})
}

// trimmingStore reports that the records to be read were deleted.
type trimmingStore struct {
	Store
	trimmed atomic.Bool
}

func (s *trimmingStore) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	if s.trimmed.Load() {
		return store.Page{}, verdict.New(verdict.NotRun, store.ReasonTrimmed, nil)
	}
	return s.Store.Read(ctx, p, from, wait)
}

// Guards against starts in an evacuated domain after a restart of all nodes, by an owner in that domain, and against a node that
// refuses jobs meanwhile.
func TestRestartOfAllNodesDuringEvacuation(t *testing.T) {
	d := newTestCluster(t, 0)
	d.startProcess(testProcess{name: "n0", processNumber: 1, domain: "w"})
	d.waitForOwner()
	d.store.writeEvacuation("w", "{}")
	for !d.nodes[0].node.operatorTopic.view.Load().Set.Contains("w") {
		time.Sleep(5 * time.Millisecond)
	}
	id := testIDPrefix + "01"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	d.nodes[0].cancel()
	if err := <-d.nodes[0].done; err != nil {
		t.Fatal(err)
	}
	d.nodes = nil
	d.startProcess(testProcess{name: "n0", processNumber: 2, domain: "w"})
	d.requestUntil(8*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "queued")
	time.Sleep(500 * time.Millisecond)
	if count := d.worker.startCount(); count != 0 {
		t.Fatalf("%d tasks were started in an evacuated failure domain", count)
	}
	d.store.writeEvacuation("w", "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

// Guards against an owner that goes on starting tasks while it cannot read the operator's topic, although the store takes its
// records.
func TestOwnerWithoutRecentRequestsStartsNothing(t *testing.T) {
	d := newTestCluster(t, 0)
	blocking := &blockingStore{Store: d.store}
	d.wrapStore = func(Store) Store { return blocking }
	d.startNode(0)
	n := d.nodes[0].node
	settings := *n.cellSettings.Load()
	settings.MaxEvacuationAge = time.Second
	n.cellSettings.Store(&settings)
	d.waitForOwner()
	blocking.blocked.Store(true)
	time.Sleep(settings.MaxEvacuationAge + configReadWait) // a read that was in flight may still succeed
	id := testIDPrefix + "02"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	time.Sleep(time.Second)
	if count := d.worker.startCount(); count != 0 {
		t.Errorf("%d tasks were started", count)
	}
	blocking.blocked.Store(false)
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}
