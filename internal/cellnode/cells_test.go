package cellnode

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/workercall"
)

// workerSet passes each order to the worker that it is for.
type workerSet map[string]*memoryWorker

func (s workerSet) Start(ctx context.Context, to workercall.Target, order workercall.Start) (workercall.Reply, error) {
	return s[to.ID].Start(ctx, to, order)
}

func (s workerSet) Stop(ctx context.Context, to workercall.Target, run workercall.Run, token int64) (workercall.Reply, error) {
	return s[to.ID].Stop(ctx, to, run, token)
}

func (s workerSet) SetPace(ctx context.Context, to workercall.Target, run workercall.Run, percent int, token int64) (workercall.Reply, error) {
	return s[to.ID].SetPace(ctx, to, run, percent, token)
}

func (s workerSet) Renew(ctx context.Context, to workercall.Target, r workercall.RenewRequest) (workercall.Report, error) {
	return s[to.ID].Renew(ctx, to, r)
}

// starts returns how often each task was started on any worker.
func (s workerSet) starts() map[jobs.TaskID]int {
	total := make(map[jobs.TaskID]int)
	for _, w := range s {
		w.mu.Lock()
		for task, count := range w.starts {
			total[task] += count
		}
		w.mu.Unlock()
	}
	return total
}

// newCellsCluster returns a deployment of two failure domains with two workers each, whose demand exceeds what one node may
// spend on a cell. It has a node in each failure domain.
func newCellsCluster(t *testing.T) (*testCluster, workerSet) {
	d, workers := newClusterOfTwoDomains(t)
	for _, domain := range []string{"a", "b"} {
		d.startProcess(testProcess{name: "n" + domain, processNumber: 1, capacity: 2, domain: domain})
	}
	return d, workers
}

// newClusterOfTwoDomains returns a deployment of two failure domains with two workers each and without nodes.
func newClusterOfTwoDomains(t *testing.T) (*testCluster, workerSet) {
	d := newTestCluster(t, 0)
	workers := workerSet{}
	d.store.topics["workers"] = nil
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		workers[id] = newMemoryWorker()
		d.store.topics["workers"] = append(d.store.topics["workers"], store.Record{Key: id, Value: []byte(id)})
	}
	d.workers = workers
	return d, workers
}

// waitForOwners waits until the process with each index owns the cell with the same number, and both know that there is
// room in both.
func (d *testCluster) waitForOwners(timeout time.Duration) {
	d.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if a, b := d.nodes[0].node.ownerOf(0), d.nodes[1].node.ownerOf(1); a != nil && b != nil && a.isLoaded() && b.isLoaded() &&
			len(d.workersOf(a)) == 2 && len(d.workersOf(b)) == 2 && d.knowsRoom(0) && d.knowsRoom(1) {
			return
		}
	}
	d.t.Fatal("the cells do not have their owners and workers")
}

// knowsRoom reports whether a process knows that both cells have capacity.
func (d *testCluster) knowsRoom(index int) bool {
	loads := d.nodes[index].node.loads.recent()
	return loads[0].CapacityMilliCPU > 0 && loads[1].CapacityMilliCPU > 0
}

// loadsWait is how long a test waits for loads of the cells that it needs. It is several times as long as an owner counts as
// overloaded after one late order.
const loadsWait = 30 * time.Second

// calm reports whether the owners of both cells are known to have capacity, and not to be short of processor time.
func calm(loads map[int]cellmap.Load) bool {
	for cell := range 2 {
		if load := loads[cell]; load.CapacityMilliCPU == 0 || load.Overloaded {
			return false
		}
	}
	return true
}

// submitWhile submits a job to a process while the loads that the process knows fulfil a condition, and returns its ID and the
// loads. Jobs whose cell may have been chosen by other loads must be completed as well, but are not returned.
//
// The loads are compared before and after the request. An owner counts as overloaded for longer than the request may take, so
// that one that is calm both times was calm when the cell was chosen.
func (d *testCluster) submitWhile(index int, nextID func() string, condition func(loads map[int]cellmap.Load) bool) (id string, loads map[int]cellmap.Load) {
	d.t.Helper()
	board := d.nodes[index].node.loads
	for deadline := time.Now().Add(loadsWait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if loads = board.recent(); !condition(loads) {
			continue
		}
		id = nextID()
		d.requestUntil(2*time.Second, index, http.MethodPost, "/q/"+id, "spec", http.StatusOK, "")
		if loads = board.recent(); condition(loads) {
			return id, loads
		}
		d.requestUntil(8*time.Second, 1-index, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
	}
	d.t.Fatalf("the loads did not become as the test needs them: %+v", loads)
	return "", nil
}

// ownerAt returns the owner of a cell, which is the process with the same number.
func (d *testCluster) ownerAt(cell int) *owner {
	d.t.Helper()
	o := d.nodes[cell].node.ownerOf(cell)
	if o == nil {
		d.t.Fatalf("process %d does not own its cell", cell)
	}
	return o
}

// belongsTo reports whether a job belongs to a cell that the process with the same number owns.
func (d *testCluster) belongsTo(id string, cell int) (known bool) {
	d.t.Helper()
	o := d.ownerAt(cell)
	o.locked(func() { _, known = o.cell.Status(jobs.ID(id)) })
	return known
}

func (d *testCluster) workersOf(o *owner) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for _, rack := range o.cell.Racks(func(string) bool { return true }) {
		ids = append(ids, rack.Workers...)
	}
	return ids
}

// storeJob stores a job of one step in a cell.
func (d *testCluster) storeJob(id string, cell int, step jobs.Step) {
	d.t.Helper()
	value, err := recordcodec.Encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 2, ReceivedMS: time.Now().UnixMilli(), Spec: jobs.Spec{Steps: []jobs.Step{step}}})
	if err != nil {
		d.t.Fatal(err)
	}
	record := store.Record{Key: jobrecord.JobKey(jobs.ID(id), "elsewhere", cell), Value: value}
	if _, err := d.store.Append(context.Background(), store.AppendRequest{Partition: jobsPartition, Records: []store.Record{record}}); err != nil {
		d.t.Fatal(err)
	}
}

// One owner for everything was late before traffic began on a deployment of 1,100 workers.
func TestDeploymentIsDividedIntoCellsByFailureDomain(t *testing.T) {
	d, workers := newCellsCluster(t)
	// A new deployment has one cell, whose owner is either node; it divides the workers and gives half of them away.
	for deadline := time.Now().Add(10 * time.Second); len(d.nodes[0].node.cells.table().Plan().Active()) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the deployment was not divided")
		}
	}
	first := 0
	if d.nodes[0].node.cells.table().Plan().Cells[0].FailureDomain == "b" {
		first = 1
	}
	if first == 1 {
		d.nodes[0], d.nodes[1] = d.nodes[1], d.nodes[0]
	}
	d.waitForOwners(10 * time.Second)

	submitted := 0
	nextID := func() string {
		submitted++
		return fmt.Sprintf("%sj%03d", testIDPrefix[:12], submitted)
	}
	t.Run("jobs run in the failure domain that received them while both owners are calm, and every node knows them", func(t *testing.T) {
		var ids [6]string
		var loads [6]map[int]cellmap.Load
		for i := range ids {
			ids[i], loads[i] = d.submitWhile(i%2, nextID, calm)
		}
		for i, id := range ids {
			d.requestUntil(8*time.Second, 1-i%2, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
			if !d.belongsTo(id, i%2) {
				t.Errorf("job %d does not belong to the cell of the node that accepted it, which knew the loads %+v", i, loads[i])
			}
		}
		d.requestUntil(3*time.Second, 0, http.MethodGet, "/q/", "", http.StatusOK, "0")
		d.requestUntil(time.Second, 1, http.MethodGet, "/q/"+testIDPrefix+"99", "", http.StatusGone, "")
	})
	t.Run("a request that is repeated through the other failure domain stays one job, and is cancelled from there", func(t *testing.T) {
		path := "/q/" + testIDPrefix + "20"
		d.requestUntil(2*time.Second, 0, http.MethodPost, path, "spec", http.StatusOK, "")
		d.requestUntil(2*time.Second, 1, http.MethodPost, path, "spec", http.StatusOK, "")
		d.requestUntil(8*time.Second, 1, http.MethodGet, path, "", http.StatusOK, "completed")
		d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"21", "spec", http.StatusOK, "")
		d.requestUntil(2*time.Second, 1, http.MethodDelete, "/q/"+testIDPrefix+"21", "", http.StatusOK, "")
		d.requestUntil(2*time.Second, 1, http.MethodGet, "/q/"+testIDPrefix+"21", "", http.StatusOK, "cancelled")
	})
	t.Run("a lent worker changes its cell and comes back", func(t *testing.T) {
		n := d.nodes[1].node
		// Borrowed workers do not help a job that requires a label which no worker has, so that it must not keep them.
		labelled := testIDPrefix + "31"
		d.storeJob(labelled, 1, jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000}, RequiredLabel: "nowhere"})
		// An overloaded owner lends nothing. One that is calm before and after the request was calm when it answered.
		lenderCalm := func() bool {
			load, loaded := d.ownerAt(0).currentLoad()
			return loaded && !load.Overloaded
		}
		for deadline, promised := time.Now().Add(loadsWait), 0; promised != 1; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the owner that is to lend a worker remains overloaded")
			}
			if !lenderCalm() {
				continue
			}
			if promised = n.askToLend(context.Background(), 0, 1, 1000, ""); promised != 1 && (promised != 0 || lenderCalm()) {
				t.Fatalf("%d workers were promised, want 1", promised)
			}
		}
		waitForWorkers := func(inFirst, inSecond int) {
			for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
				if len(d.workersOf(d.nodes[0].node.ownerOf(0))) == inFirst && len(d.workersOf(n.ownerOf(1))) == inSecond {
					return
				}
				if time.Now().After(deadline) {
					t.Fatalf("the cells do not have %d and %d workers", inFirst, inSecond)
				}
			}
		}
		waitForWorkers(1, 3)
		d.requestUntil(2*time.Second, 1, http.MethodPost, "/q/"+testIDPrefix+"30", "spec", http.StatusOK, "")
		d.requestUntil(8*time.Second, 1, http.MethodGet, "/q/"+testIDPrefix+"30", "", http.StatusOK, "completed")
		waitForWorkers(2, 2)
		d.requestUntil(2*time.Second, 1, http.MethodDelete, "/q/"+labelled, "", http.StatusOK, "")
	})
	t.Run("a request to lend to a cell that does not exist is refused", func(t *testing.T) {
		for _, r := range []*cellrpc.LendRequest{{Cell: 0, Borrower: 7}, {Cell: 0, Borrower: 0}, {Cell: 0, Borrower: -1}} {
			if _, err := (cellServer{d.nodes[0].node}).Lend(context.Background(), r); err == nil {
				t.Errorf("%v was accepted", r)
			}
		}
		if reply, err := (cellServer{d.nodes[0].node}).Lend(context.Background(), &cellrpc.LendRequest{Cell: 1}); err != nil || reply.Owner {
			t.Errorf("a node that does not own the cell answered %v, %v", reply, err)
		}
	})
	t.Run("jobs that are received where the owner is overloaded go to the other cell", func(t *testing.T) {
		o := d.ownerAt(1)
		id, loads := d.submitWhile(1, nextID, func(loads map[int]cellmap.Load) bool {
			// Repeated in time for the owner to count as overloaded until the request has ended.
			o.locked(func() { o.cell.ObserveDelay(300 * time.Millisecond) })
			return loads[1].Overloaded && loads[0].CapacityMilliCPU > 0 && !loads[0].Overloaded
		})
		d.requestUntil(8*time.Second, 1, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
		if !d.belongsTo(id, 0) {
			t.Errorf("the job does not belong to the other cell, with the loads %+v", loads)
		}
	})
	t.Run("when a failure domain loses its nodes, another node takes over its cell beside its own", func(t *testing.T) {
		d.nodes[1].link.killed.Store(true)
		d.nodes[1].cancel()
		id := testIDPrefix + "40"
		key := jobrecord.JobKey(jobs.ID(id), "elsewhere", 1)
		_, err := d.store.Append(context.Background(), store.AppendRequest{Partition: jobsPartition, Records: []store.Record{{Key: key, Value: d.jobValue()}}})
		if err != nil {
			t.Fatal(err)
		}
		d.requestUntil(25*time.Second, 0, http.MethodGet, "/q/"+id, "", http.StatusOK, "completed")
		if d.nodes[0].node.ownerOf(0) == nil || d.nodes[0].node.ownerOf(1) == nil {
			t.Error("the node does not own both cells")
		}
	})
	for task, starts := range workers.starts() {
		if starts != 1 {
			t.Errorf("%v was started %d times", task, starts)
		}
	}
}

// Guards against cells that only a small first owner needs: their jobs and workers stay there when a large node has the cell.
func TestSmallFirstOwnerDoesNotDivideDeploymentWithLargeNodes(t *testing.T) {
	d, _ := newClusterOfTwoDomains(t)
	d.startProcess(testProcess{name: "small", capacity: 2, domain: "a"})
	d.waitForOwnerNode(0, 3*time.Second)
	d.startProcess(testProcess{name: "large", rank: 1, capacity: largeCapacity, domain: "b"})
	o := d.nodes[0].node.ownerOf(0)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if capacity, settled := o.largestCapacity(); settled {
			if capacity != largeCapacity {
				t.Errorf("the largest known capacity is %d, want %d", capacity, int64(largeCapacity))
			}
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the owner does not know how many cells are needed")
		}
	}
	time.Sleep(2 * workersReadInterval)
	if plan := d.nodes[0].node.cells.table().Plan(); len(plan.Cells) != 1 {
		t.Errorf("the deployment was divided: %+v", plan)
	}
}

// Guards against workers that nobody uses: a service kept the rack, and all workers on it, in a cell that was not active any more.
func TestInactiveCellKeepsOnlyTheWorkerOfItsService(t *testing.T) {
	d, workers := newClusterOfTwoDomains(t)
	for _, w := range workers {
		w.lasting = true
	}
	service := jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000}, LongRunning: true}
	for _, a := range []struct {
		partition store.Partition
		key       string
		value     any
	}{
		{cellsPartition, cellmap.PlanKey, &cellmap.Plan{Cells: []cellmap.PlannedCell{{Active: true}, {FailureDomain: "b"}}}},
		{cellsPartition, cellmap.RackKey("b", ""), &cellmap.Assignment{Cell: 1}},
		{jobsPartition, jobrecord.JobKey(jobs.ID(testIDPrefix+"60"), "n", 1), &jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 2,
			ReceivedMS: time.Now().UnixMilli(), Spec: jobs.Spec{Steps: []jobs.Step{service}}}},
	} {
		value, err := recordcodec.Encode(a.value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.store.Append(context.Background(), store.AppendRequest{Partition: a.partition, Records: []store.Record{{Key: a.key, Value: value}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, domain := range []string{"a", "b"} {
		d.startProcess(testProcess{name: "n" + domain, processNumber: 1, capacity: largeCapacity, domain: domain})
	}
	count := func(cell int) int {
		for _, n := range d.nodes {
			if o := n.node.ownerOf(cell); o != nil && o.isLoaded() {
				return len(d.workersOf(o))
			}
		}
		return 0
	}
	for deadline := time.Now().Add(15 * time.Second); count(0) != 3 || count(1) != 1 || len(workers.starts()) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the cells have %d and %d workers, want 3 and 1", count(0), count(1))
		}
	}
	for task, starts := range workers.starts() {
		if starts != 1 {
			t.Errorf("%v was started %d times", task, starts)
		}
	}
}

// An owner that read a job of a new cell before the plan that has this cell ran the job as its own, and the new cell's owner
// ran it too.
func TestJobOfCellThatTheOwnerHasNotReadOf(t *testing.T) {
	d := newTestCluster(t, 0)
	release := make(chan struct{})
	d.wrapStore = func(s Store) Store { return &latePlanStore{Store: s, release: release} }
	d.startProcess(testProcess{name: "n", processNumber: 1, capacity: 2, domain: "a"})
	d.waitForOwner()
	n := d.nodes[0].node
	plan, err := recordcodec.Encode(&cellmap.Plan{Cells: []cellmap.PlannedCell{{FailureDomain: "a", Active: true}, {FailureDomain: "b", Active: true}}})
	if err != nil {
		t.Fatal(err)
	}
	id := jobs.ID(testIDPrefix + "50")
	for _, a := range []store.AppendRequest{
		{Partition: cellsPartition, Records: []store.Record{{Key: cellmap.PlanKey, Value: plan}}},
		{Partition: jobsPartition, Records: []store.Record{{Key: jobrecord.JobKey(id, "elsewhere", 1), Value: d.jobValue()}}},
	} {
		if _, err := d.store.Append(context.Background(), a); err != nil {
			t.Fatal(err)
		}
	}
	o := n.ownerOf(0)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		status, _ := o.status(id)
		if status.known {
			t.Fatal("the owner of cell 0 runs a job of cell 1")
		}
		if status.elsewhere && status.cell == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the owner has not read the job")
		}
	}
	close(release)
	if skipped := n.counts.UnknownCells.Get(); skipped != 0 {
		t.Errorf("%d jobs were taken for jobs of cells that do not exist", skipped)
	}
}

// latePlanStore answers long reads of the topic of the cells only once it is released.
type latePlanStore struct {
	Store
	release chan struct{}
}

func (s *latePlanStore) Read(ctx context.Context, p store.Partition, from store.Offset, wait time.Duration) (store.Page, error) {
	if p == cellsPartition && wait > 0 {
		select {
		case <-s.release:
		case <-ctx.Done():
		}
	}
	return s.Store.Read(ctx, p, from, wait)
}

// jobValue returns the record of a job as the nodes store it.
func (d *testCluster) jobValue() []byte {
	d.t.Helper()
	spec, err := testWire().DecodeJob([]byte("spec"))
	if err != nil {
		d.t.Fatal(err)
	}
	value, err := recordcodec.Encode(&jobrecord.Job{Queue: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, ReceivedMS: time.Now().UnixMilli(), Spec: *spec})
	if err != nil {
		d.t.Fatal(err)
	}
	return value
}

// Records of the topic of the cells that nobody should have written must not stop a node.
func TestUnreadableRecordsOfTheCellsAreSkipped(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	assignment, err := recordcodec.Encode(&cellmap.Assignment{Cell: 9})
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.store.Append(context.Background(), store.AppendRequest{Partition: cellsPartition, Records: []store.Record{
		{Key: cellmap.PlanKey, Value: []byte("x")}, {Key: cellmap.WorkerKey("w"), Value: assignment}, {Key: "", Value: nil}, {Key: "?", Value: assignment}}})
	if err != nil {
		t.Fatal(err)
	}
	n := d.nodes[0].node
	for deadline := time.Now().Add(3 * time.Second); n.counts.UnreadableRecords.Get() < 3; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d records were skipped, want 3", n.counts.UnreadableRecords.Get())
		}
	}
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+testIDPrefix+"01", "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+testIDPrefix+"01", "", http.StatusOK, "completed")
}

// A list whose pages are read while a job is deleted must not show a repeated request as the job's first record.
func TestJobsDeletedDuringListingAreLeftOut(t *testing.T) {
	memory := newMemoryStore()
	first, repeated := jobrecord.JobKey("j", "z", 0), jobrecord.JobKey("j", "a", 1)
	append := func(records ...store.Record) {
		if _, err := memory.Append(context.Background(), store.AppendRequest{Partition: jobsPartition, Records: records}); err != nil {
			t.Fatal(err)
		}
	}
	append(store.Record{Key: first, Value: []byte("1")}, store.Record{Key: repeated, Value: []byte("2")})
	n := &Node{platform: Platform{Store: &deletingStore{Store: memory, delete: func() {
		append(store.Record{Key: first}, store.Record{Key: repeated}, store.Record{Key: jobrecord.JobKey("k", "a", 0), Value: []byte("3")})
	}}}}
	records, end, err := n.readJobs(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(records) != 1 || records[0].Key != jobrecord.JobKey("k", "a", 0) || end != 5 {
		t.Errorf("got %v up to offset %d, want only the job that is not deleted", records, end)
	}
}

// deletingStore lists only the record with the lowest key, as if the others were deleted before the second page.
type deletingStore struct {
	Store
	delete func()
}

func (s *deletingStore) List(ctx context.Context, p store.Partition, after string) (store.ListPage, error) {
	page, err := s.Store.List(ctx, p, after)
	if p == jobsPartition && err == nil && len(page.Records) > 0 {
		page.Records = page.Records[:1]
		s.delete()
	}
	return page, err
}
