package cellnode

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/appender"
	"cactuswall.example/cactuswall/internal/cell"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
	"cactuswall.example/cactuswall/internal/workercall"
)

// memoryStore is an in-memory log store with keyed topics. While down, it rejects all calls.
type memoryStore struct {
	mu       sync.Mutex
	topics   map[string][]store.Record
	epochs   map[string]int64
	appended chan struct{}
	down     bool
	limits   appender.Limits
	rejected int // appends that exceeded the limits
}

// topicKey returns the key of a partition in memoryStore.topics, for partition 0 the name of the topic.
func topicKey(p store.Partition) string {
	if p.Number == 0 {
		return p.Topic
	}
	return fmt.Sprintf("%s/%d", p.Topic, p.Number)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{limits: appender.Limits{RecordBytes: 1 << 18, CallBytes: 1 << 20}, topics: make(map[string][]store.Record), epochs: make(map[string]int64), appended: make(chan struct{})}
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryStore) exceedsLimits(records []store.Record) bool {
	return store.RecordsSize(records) > m.limits.CallBytes ||
		slices.ContainsFunc(records, func(r store.Record) bool { return r.Size() > m.limits.RecordBytes })
}

func (m *memoryStore) Append(_ context.Context, a store.AppendRequest) (store.AppendResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	if m.exceedsLimits(a.Records) {
		m.rejected++
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonRejected, nil)
	}
	topic := topicKey(a.Partition)
	end := store.Offset(len(m.topics[topic]))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonConflict, nil)
	}
	if a.Producer != nil {
		if a.Producer.Epoch < m.epochs[topic+a.Producer.Name] {
			return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonFenced, nil)
		}
		m.epochs[topic+a.Producer.Name] = a.Producer.Epoch
	}
	for i, r := range a.Records {
		r.Offset = end + store.Offset(i)
		m.topics[topic] = append(m.topics[topic], r)
	}
	close(m.appended)
	m.appended = make(chan struct{})
	return store.AppendResult{First: end, End: store.Offset(len(m.topics[topic]))}, nil
}

func (m *memoryStore) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		records, appended, down := m.topics[topicKey(p)], m.appended, m.down
		m.mu.Unlock()
		if down {
			return store.Page{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
		}
		end := store.Offset(len(records))
		if from < end {
			return store.Page{Records: records[from:], Next: end, End: end}, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return store.Page{Next: from, End: end}, nil
		case <-ctx.Done():
			return store.Page{}, verdict.New(verdict.MayHaveRun, store.ReasonNoAnswer, ctx.Err())
		}
	}
}

func (m *memoryStore) List(_ context.Context, p store.Partition, after string) (store.ListPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.ListPage{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	latest := make(map[string]store.Record)
	for _, r := range m.topics[topicKey(p)] {
		latest[r.Key] = r
	}
	listing := store.ListPage{End: store.Offset(len(m.topics[topicKey(p)]))}
	for key, r := range latest {
		if key <= after {
			continue
		}
		listing.Records = append(listing.Records, r)
	}
	sort.Slice(listing.Records, func(i, j int) bool { return listing.Records[i].Key < listing.Records[j].Key })
	return listing, nil
}

// memoryWorker simulates a worker on which every task completes after taskDuration.
type memoryWorker struct {
	mu        sync.Mutex
	startedAt time.Time
	token     int64
	running   map[workercall.Run]time.Time
	ended     []workercall.EndedRun
	starts    map[jobs.TaskID]int
	lasting   bool // its tasks do not end by themselves
}

const taskDuration = 300 * time.Millisecond

func newMemoryWorker() *memoryWorker {
	return &memoryWorker{startedAt: time.Now(), running: make(map[workercall.Run]time.Time), starts: make(map[jobs.TaskID]int)}
}

func (m *memoryWorker) checkToken(token int64) error {
	if token < m.token {
		return verdict.New(verdict.NotRun, workercall.ReasonFenced, nil)
	}
	m.token = token
	return nil
}

func (m *memoryWorker) Start(_ context.Context, _ workercall.Target, s workercall.Start) (workercall.Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := workercall.Reply{Clock: time.Since(m.startedAt), StartedAtMS: 1}
	if err := m.checkToken(s.Token); err != nil {
		return answer, err
	}
	if _, running := m.running[s.Run]; !running {
		m.starts[s.Task]++
		m.running[s.Run] = time.Now()
	}
	return answer, nil
}

func (m *memoryWorker) Stop(_ context.Context, _ workercall.Target, run workercall.Run, token int64) (workercall.Reply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkToken(token); err != nil {
		return workercall.Reply{}, err
	}
	if _, running := m.running[run]; running {
		m.end(run, workercall.Stopped)
	}
	return workercall.Reply{Clock: time.Since(m.startedAt), StartedAtMS: 1}, nil
}

func (m *memoryWorker) SetPace(context.Context, workercall.Target, workercall.Run, int, int64) (workercall.Reply, error) {
	return workercall.Reply{}, nil
}

func (m *memoryWorker) end(run workercall.Run, reason workercall.EndReason) {
	delete(m.running, run)
	m.ended = append(m.ended, workercall.EndedRun{Sequence: int64(len(m.ended) + 1), Run: run, Reason: reason})
}

func (m *memoryWorker) Renew(ctx context.Context, _ workercall.Target, r workercall.RenewRequest) (workercall.Report, error) {
	for deadline := time.Now().Add(r.Wait); ; sleep(ctx, 10*time.Millisecond) {
		report, err := m.report(r)
		if err != nil || len(report.Ended) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return report, err
		}
	}
}

func (m *memoryWorker) report(r workercall.RenewRequest) (workercall.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkToken(r.Token); err != nil {
		return workercall.Report{}, err
	}
	for run, startedAt := range m.running {
		if !m.lasting && time.Since(startedAt) > taskDuration {
			m.end(run, workercall.Done)
		}
	}
	report := workercall.Report{Clock: time.Since(m.startedAt), StartedAtMS: 1}
	for run := range m.running {
		report.Running = append(report.Running, workercall.RunStatus{Run: run, Percent: 50})
	}
	for _, e := range m.ended {
		if e.Sequence > r.Acknowledged {
			report.Ended = append(report.Ended, e)
		}
	}
	return report, nil
}

// testCluster is a set of nodes on the loopback interface that share an in-memory store and worker.
type testCluster struct {
	t      *testing.T
	store  *memoryStore
	worker *memoryWorker
	// workers receives the orders instead of worker, unless it is nil.
	workers Workers
	// wrapStore, if set, returns the store that nodes call in place of store.
	wrapStore func(Store) Store
	// prepare is called with each node before it runs, unless it is nil.
	prepare func(*Node)
	// bodyBytes is the limit on bodies of callers in the configuration; 0: 100.
	bodyBytes int64
	nodes     []*runningNode
}

type runningNode struct {
	node   *Node
	link   *platformLink
	cancel context.CancelFunc
	done   chan error
}

// testProcess describes a process of a node. processNumber distinguishes the processes of one node.
type testProcess struct {
	name          string
	processNumber int
	rank          int
	capacity      int64 // in thousandths of a core
	domain        string
}

// testIDPrefix followed by two characters is a valid job ID, which has 16 characters.
const testIDPrefix = "00000000000000"

func testWire() CallerCodec {
	return CallerCodec{
		ParseJobID: func(text string) (jobs.ID, error) {
			if len(text) != 16 {
				return "", fmt.Errorf("invalid job ID: %q", text)
			}
			return jobs.ID(text), nil
		},
		DecodeJob: func(body []byte) (*jobs.Spec, error) {
			if len(body) == 0 {
				return nil, fmt.Errorf("empty body")
			}
			if string(body) == "half" { // of the worker
				return &jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 8000}, Estimate: taskDuration}}}, nil
			}
			if string(body) == "many" {
				return &jobs.Spec{Steps: []jobs.Step{{Count: 200, Request: jobs.Resources{MilliCPU: 10}, Estimate: taskDuration}}}, nil
			}
			if string(body) == "too large" {
				return &jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 16001}, Estimate: taskDuration}}}, nil
			}
			step := jobs.Step{Count: 2, Request: jobs.Resources{MilliCPU: 100}, Estimate: taskDuration}
			return &jobs.Spec{Payload: string(body), Steps: []jobs.Step{step, {Count: 1, Estimate: taskDuration, DependsOn: []int{0}}}}, nil
		},
		EncodeState:   func(state jobs.State) []byte { return []byte(state.String()) },
		EncodePending: func(count int) []byte { return []byte(fmt.Sprint(count)) },
		ReadyPath:     "/ready", DeadlineHeader: "Deadline-Ms",
	}
}

func newTestCluster(t *testing.T, nodes int) *testCluster {
	d := &testCluster{t: t, store: newMemoryStore(), worker: newMemoryWorker()}
	d.store.topics["config"] = []store.Record{{Key: "config", Value: []byte("1")}}
	d.store.topics["workers"] = []store.Record{{Key: "w", Value: []byte("w")}}
	for i := range nodes {
		d.startNode(i)
	}
	t.Cleanup(func() {
		for _, n := range d.nodes {
			n.cancel()
		}
		for _, n := range d.nodes {
			if err := <-n.done; err != nil {
				t.Error(err)
			}
		}
	})
	return d
}

// loopbackAddresses is the number of addresses that freeAddress has returned.
var loopbackAddresses atomic.Int32

// freeAddress returns a free port on a loopback address of its own, since connections from 127.0.0.1 could take a port
// of that address before the node listens on it.
func freeAddress(t *testing.T) string {
	number := loopbackAddresses.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", number/250, 1+number%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (d *testCluster) startNode(rank int) {
	d.startProcess(testProcess{name: fmt.Sprintf("n%d", rank), processNumber: 1, rank: rank})
}

func (d *testCluster) startProcess(p testProcess) {
	topics := Topics{
		Config: store.Partition{Topic: "config"}, ConfigKey: "config", Workers: store.Partition{Topic: "workers"},
		DecodeConfig: func([]byte) (*queue.Config, error) {
			return &queue.Config{Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2},
				{Name: "objective", Host: "h", Prefix: "/o/", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, DeadlineSlack: time.Second}},
				Services: []queue.Service{{Name: "s"}}, Limits: queue.Limits{BodyBytes: cmp.Or(d.bodyBytes, 100)}}, nil
		},
		DecodeWorker: func(id string, _ []byte) (workercall.Worker, error) {
			return workercall.Worker{ID: id, Service: "s", Address: "w:1", FailureDomain: id[:1], StartedAtMS: 1,
				Capacity: jobs.Resources{MilliCPU: 16000, MemoryMB: 64000}}, nil
		},
	}
	link := &platformLink{Store: d.store, Workers: d.worker}
	if d.workers != nil {
		link.Workers = d.workers
	}
	if d.wrapStore != nil {
		link.Store = d.wrapStore(d.store)
	}
	node := New(Settings{
		Node: p.name, FailureDomain: p.domain, Rank: p.rank, Capacity: p.capacity, CallerAddress: freeAddress(d.t), ReadyAddress: freeAddress(d.t), PeerAddress: freeAddress(d.t),
		MetricsAddress: freeAddress(d.t), MaxRecordBytes: d.store.limits.RecordBytes, MaxCallBytes: d.store.limits.CallBytes, StopGracePeriod: 6 * time.Second,
		Cell: cell.Settings{MaxLease: 6 * time.Second, StatusRetention: time.Minute, MaxOverTarget: 4 * time.Second},
	}, Platform{Store: link, Workers: link, Topics: topics, CallerCodec: testWire()}, fmt.Sprintf("%s-%d", p.name, p.processNumber), zap.NewNop())
	if d.prepare != nil {
		d.prepare(node)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{node: node, link: link, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- node.Run(ctx) }()
	d.nodes = append(d.nodes, r)
}

// request sends a request to a node and returns the status and the body of the response, or 0 and the error text if
// there was no response.
func (d *testCluster) request(node int, method, path, body string) (int, string) {
	url := "http://" + d.nodes[node].node.settings.CallerAddress + path
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(content)
}

// requestUntil repeats a request until the response has the wanted status and body. An empty wantBody matches any body.
// The test fails if that takes longer than timeout.
func (d *testCluster) requestUntil(timeout time.Duration, node int, method, path, body string, wantStatus int, wantBody string) {
	d.t.Helper()
	var lastStatus int
	var lastBody string
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		lastStatus, lastBody = d.request(node, method, path, body)
		if lastStatus == wantStatus && (wantBody == "" || lastBody == wantBody) {
			return
		}
	}
	d.t.Fatalf("%s %s at node %d: %d %q, want %d %q", method, path, node, lastStatus, lastBody, wantStatus, wantBody)
}

// waitForOwner waits until a node owns the cell and returns the index of that node.
func (d *testCluster) waitForOwner() int {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i, n := range d.nodes {
			if o := n.node.membership(0).owner.Load(); o != nil && n.node.membership(0).mayDecide(o.epoch) {
				return i
			}
		}
	}
	d.t.Fatal("no node owns the cell")
	return -1
}

func TestJobEndToEnd(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	id := testIDPrefix + "01"
	d.requestUntil(2*time.Second, 1-owner, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 1-owner, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
	d.requestUntil(time.Second, owner, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
	d.requestUntil(2*time.Second, 1-owner, http.MethodGet, "/q/", "", http.StatusOK, "0")
	for task, starts := range d.worker.starts {
		if starts != 1 {
			t.Errorf("%v was started %d times", task, starts)
		}
	}
}

func TestInvalidRequests(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	for _, c := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"no such queue", http.MethodPost, "/other/" + testIDPrefix + "02", "x", http.StatusNotFound},
		{"invalid job ID", http.MethodPost, "/q/short", "x", http.StatusNotFound},
		{"empty body", http.MethodPost, "/q/" + testIDPrefix + "02", "", http.StatusBadRequest},
		{"too large", http.MethodPost, "/q/" + testIDPrefix + "02", string(make([]byte, 101)), http.StatusRequestEntityTooLarge},
		{"unsupported method", http.MethodPut, "/q/" + testIDPrefix + "02", "x", http.StatusMethodNotAllowed},
	} {
		if status, _ := d.request(0, c.method, c.path, c.body); status != c.status {
			t.Errorf("%s: got status %d, want %d", c.name, status, c.status)
		}
	}
	d.requestUntil(time.Second, 0, http.MethodGet, "/q/"+testIDPrefix+"09", "", http.StatusGone, "")
	d.requestUntil(time.Second, 0, http.MethodDelete, "/q/"+testIDPrefix+"09", "", http.StatusGone, "")
}

func TestSubmitIsRejectedPromptlyWhileStoreIsDown(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	d.store.setDown(true)
	start := time.Now()
	if status, _ := d.request(0, http.MethodPost, "/q/"+testIDPrefix+"03", "x"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", status)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the request was rejected after %v, want at most 1s", took)
	}
	d.store.setDown(false)
	d.requestUntil(3*time.Second, 0, http.MethodGet, "/q/"+testIDPrefix+"03", "", http.StatusGone, "") // the job was not stored
}

// disconnectableStore wraps a store and rejects appends while disconnected.
type disconnectableStore struct {
	Store
	disconnected atomic.Bool
}

func (s *disconnectableStore) Append(ctx context.Context, a store.AppendRequest) (store.AppendResult, error) {
	if s.disconnected.Load() {
		return store.AppendResult{}, verdict.New(verdict.NotRun, store.ReasonBusy, nil)
	}
	return s.Store.Append(ctx, a)
}

func TestNodeWithoutStoreAccessAcceptsViaOwner(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	wrapped := &disconnectableStore{Store: d.store}
	other := d.nodes[1-owner].node
	other.jobsAppender = appender.New(wrapped, jobsPartition, "disconnected", 1, appender.Limits{CallBytes: 1 << 20}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = other.jobsAppender.Run(ctx) }() // ends with the context
	wrapped.disconnected.Store(true)
	id := testIDPrefix + "04"
	d.requestUntil(2*time.Second, 1-owner, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 1-owner, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
}

func TestGracefulStopHandsCellOver(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	for i := range 5 {
		d.requestUntil(2*time.Second, 1-owner, http.MethodPost, fmt.Sprintf("/q/%s1%d", testIDPrefix, i), "spec", http.StatusOK, "")
	}
	start := time.Now()
	d.nodes[owner].cancel()
	for d.nodes[1-owner].node.membership(0).owner.Load() == nil {
		if time.Since(start) > time.Second {
			t.Fatal("the cell was not handed over within a second")
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The stopping node still serves requests that reach it.
	d.requestUntil(time.Second, owner, http.MethodGet, "/q/"+testIDPrefix+"10", "", http.StatusOK, "")
	for i := range 5 {
		d.requestUntil(5*time.Second, 1-owner, http.MethodGet, fmt.Sprintf("/q/%s1%d", testIDPrefix, i), "", http.StatusOK, "completed")
	}
	for task, starts := range d.worker.starts {
		if starts != 1 {
			t.Errorf("%v was started %d times", task, starts)
		}
	}
}

func TestReadiness(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	ready := func() int {
		resp, err := http.Get("http://" + d.nodes[0].node.settings.ReadyAddress + "/ready")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	if status := ready(); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	d.store.setDown(true)
	for deadline := time.Now().Add(4 * time.Second); ready() == http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a node that cannot reach the store still reports ready")
		}
	}
}

// A request that was in flight when a stopping node shut down its server for callers was cut: the node ended with the server.
func TestPlannedStopAnswersRequestsInFlight(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"10", "spec", http.StatusOK, "")
	d.nodes[0].cancel()
	time.Sleep(idleCloseDelay - statusQueryTimeout/2)
	// Without an owner the node tries until statusQueryTimeout has passed.
	if status, body := d.request(0, http.MethodGet, "/q/"+testIDPrefix+"10", ""); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %q, want 503", status, body)
	}
}
