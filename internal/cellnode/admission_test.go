package cellnode

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/jobs"
)

// submit submits a job of the queue with an objective and returns the status and the Retry-After.
func (d *testCluster) submit(node int, id, body string) (status, retryAfter int) {
	d.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.nodes[node].node.settings.CallerAddress+"/o/"+id, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	retryAfter, _ = strconv.Atoi(resp.Header.Get("Retry-After"))
	return resp.StatusCode, retryAfter
}

// Guards against jobs that are accepted although everything older that can still be useful takes longer than three objectives, and
// against refusals that are not true, come on the wrong node only, or outlast the load.
func TestJobsThatCannotBeDoneInTimeAreRefused(t *testing.T) {
	d := newTestCluster(t, 2)
	owner := d.waitForOwner()
	id := func(i int) string { return fmt.Sprintf("%016d", i) }
	refused, accepted := [2]int{-1, -1}, 0 // number of the first job that each node refused
	for i, deadline := 0, time.Now().Add(25*time.Second); refused[0] < 0 || refused[1] < 0; i++ {
		if time.Now().After(deadline) {
			t.Fatalf("no job was refused by each node: %v", refused)
		}
		status, retryAfter := d.submit(i%2, id(i), "half")
		switch {
		case status == http.StatusTooManyRequests && retryAfter < 1:
			t.Fatalf("Retry-After is %d", retryAfter)
		case status == http.StatusTooManyRequests && refused[i%2] < 0:
			refused[i%2] = i
		case status == http.StatusOK:
			accepted = i
		case status != http.StatusTooManyRequests:
			t.Fatalf("status %d", status)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if refused[owner] < 40 && refused[1-owner] < 40 {
		t.Errorf("jobs were refused before there was a backlog: %v", refused)
	}
	if status, _ := d.submit(0, id(accepted), "half"); status != http.StatusOK {
		t.Errorf("a job that was accepted got status %d when it was sent again", status)
	}
	if status, _ := d.submit(1, id(accepted), "half"); status != http.StatusOK {
		t.Errorf("a job that was accepted got status %d when it was sent again through the other node", status)
	}
	if status, _ := d.submit(1-owner, id(9001), "spec"); status != http.StatusOK {
		t.Errorf("a job of another size got status %d", status)
	}
	if status, retryAfter := d.submit(1-owner, id(9002), "too large"); status != http.StatusTooManyRequests || retryAfter != 0 {
		t.Errorf("a job that fits no worker got status %d, Retry-After %d", status, retryAfter)
	}
	d.requestUntil(2*time.Second, 0, http.MethodGet, "/o/"+id(refused[0]), "", http.StatusGone, "")
	time.Sleep(maxLoadAge) // no jobs arrive, and those that wait become worthless
	if status, _ := d.submit(1, id(refused[1]), "half"); status != http.StatusOK {
		t.Errorf("a refused job got status %d after the load", status)
	}
}

// Guards against refusals by figures that are missing, too old, or of a job that may have been accepted.
func TestFiguresThatCauseNoRefusal(t *testing.T) {
	d := newTestCluster(t, 1)
	d.waitForOwner()
	n := d.nodes[0].node
	q := n.config.Get().Queue("objective")
	spec, err := testWire().DecodeJob([]byte("half"))
	if err != nil {
		t.Fatal(err)
	}
	figures := drain.Figures{Kinds: []drain.KindFigures{{Kind: drain.KindOf(q.Service, q.Name, q.Priority, &spec.Steps[0]),
		Backlog: 1e6, Rate: 1000, Starts: 10, ShortMS: 60_000, Shortest: spec.Steps[0].Request}}}
	now := boottime.Now()
	a := newAdmission()
	decide := func(cells ...int) bool {
		plan := cellmap.Plan{Cells: make([]cellmap.PlannedCell, 2)}
		for _, cell := range cells {
			plan.Cells[cell].Active = true
		}
		refused := a.decide("j", newDrainJob(q, spec), cells, now).Refused
		if refused && !a.mayRefuse(q.Service, spec, plan, now) {
			t.Error("the check that allocates nothing passes a job that is refused")
		}
		return refused
	}
	a.put(0, figures, now-time.Second)
	if !decide(0) {
		t.Error("the job is not refused by recent figures")
	}
	if decide(0, 1) {
		t.Error("the job is refused although the figures of a cell are missing")
	}
	a.put(1, figures, now-maxLoadAge-time.Second)
	if decide(0, 1) {
		t.Error("the job is refused by figures that are too old")
	}
	a.put(1, drain.Figures{}, now-time.Second)
	if decide(0, 1) {
		t.Error("the job is refused although a cell has no backlog")
	}
	result := a.decide("j", newDrainJob(q, spec), []int{0}, now)
	if !strings.HasPrefix(result.cause, "no room for this kind within its objective: next in ") {
		t.Errorf("the cause is %q", result.cause)
	}
	g := gateway{n}
	n.admission.attempted.add("attempted", 0)
	if r := g.refuse(context.Background(), "attempted", q, newDrainJob(q, spec), &result); r != nil {
		t.Error("a job that this node has tried to store is refused")
	}
	if other := (gateway{newIdleNode(t)}); other.refuse(context.Background(), "j", q, newDrainJob(q, spec), &result) != nil {
		t.Error("a job is refused although no owner says that it is unknown")
	}
	lasting := &jobs.Spec{Steps: []jobs.Step{{Count: 1, LongRunning: true}}}
	if !mayBeRefused(q, spec) || mayBeRefused(q, lasting) || mayBeRefused(q, &jobs.Spec{Steps: spec.Steps, OccurrenceCount: 1}) || mayBeRefused(n.config.Get().Queue("q"), spec) {
		t.Error("a long-running or scheduled job, or one of a queue without an objective, may be refused")
	}
}

// newIdleNode returns a node that is not running, so that it knows no owner.
func newIdleNode(t *testing.T) *Node {
	d := newTestCluster(t, 0)
	d.startNode(7)
	n := d.nodes[0].node
	return New(n.settings, n.platform, "idle", n.log)
}

// An owner of an earlier version does not know the path, and a broken reply must not end the exchange or cause refusals.
func TestUnreadableFiguresAreIgnored(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"earlier version": http.NotFound,
		"not JSON":        func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"too large": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"cells":[` + strings.Repeat(" ", maxFiguresBytes)))
		},
	} {
		server := httptest.NewServer(handler)
		if reply, err := newIdleNode(t).fetchFigures(context.Background(), strings.TrimPrefix(server.URL, "http://")); err == nil {
			t.Errorf("%s: got %v", name, reply)
		}
		server.Close()
	}
}

// With several cells, an owner knew the figures of its own cell only, so that no job was refused although all cells were full.
func TestOwnersExchangeFiguresWhileWorkWaits(t *testing.T) {
	d, _ := newCellsCluster(t)
	for deadline := time.Now().Add(10 * time.Second); len(d.nodes[0].node.cells.table().Plan().Active()) < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the deployment was not divided")
		}
	}
	if d.nodes[0].node.cells.table().Plan().Cells[0].FailureDomain == "b" {
		d.nodes[0], d.nodes[1] = d.nodes[1], d.nodes[0]
	}
	d.waitForOwners(10 * time.Second)
	known := func(n *Node) bool {
		n.admission.mu.Lock()
		defer n.admission.mu.Unlock()
		figures, _ := n.admission.recent([]int{0, 1}, boottime.Now())
		return figures[0] != nil && figures[1] != nil && len(figures[0].Kinds) > 0 && len(figures[1].Kinds) > 0
	}
	for i, deadline := 0, time.Now().Add(20*time.Second); !known(d.nodes[0].node) || !known(d.nodes[1].node); i++ {
		if time.Now().After(deadline) {
			t.Fatal("the owners do not know each other's figures")
		}
		if status, _ := d.submit(i%2, fmt.Sprintf("%016d", i), "half"); status != http.StatusOK && status != http.StatusTooManyRequests {
			t.Fatalf("status %d", status)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a job that waits in a cell where it is too late, although another cell does it in time.
func TestJobGoesToTheCellThatDoesItInTime(t *testing.T) {
	a := newAdmission()
	spec := &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}
	decision := drain.Decision{Late: map[int]bool{0: true, 1: false}, Cell: 1, Estimate: drain.Estimate{Known: true}}
	job := admitted{job: &drain.Job{Spec: spec}, decision: decision}
	if cell := a.accepted("a", job, 0); cell != 1 {
		t.Errorf("the job goes to cell %d, want 1", cell)
	}
	if cell := a.accepted("b", job, 1); cell != 1 {
		t.Errorf("the job goes to cell %d, want 1, which was chosen", cell)
	}
	job.decision.Late[1] = true
	if cell := a.accepted("c", job, 0); cell != 0 {
		t.Errorf("the job goes to cell %d, want 0: it is late in both", cell)
	}
	if cell := a.accepted("d", admitted{}, 0); cell != 0 {
		t.Errorf("a job that nothing speaks against goes to cell %d, want 0", cell)
	}
}

// Calls between nodes are paid for: guards against requests for figures while no job arrives or no queue has an objective, and
// against more than are needed while tasks find workers.
func TestFiguresAreAskedForOnlyWhileTheyAreNeeded(t *testing.T) {
	n := newIdleNode(t)
	n.loads.lastSubmit.Store(int64(boottime.Now()))
	if n.wantsFigures() {
		t.Error("figures are wanted without a configuration")
	}
	config, _ := n.platform.Topics.DecodeConfig(nil)
	n.config.Update(config)
	if !n.wantsFigures() {
		t.Error("figures are not wanted while jobs arrive")
	}
	n.loads.lastSubmit.Store(int64(boottime.Now() - submitRecency))
	if n.wantsFigures() {
		t.Error("figures are wanted although no jobs arrive")
	}
	without := *config
	without.Version++
	without.Queues = config.Queues[:1]
	n.config.Update(&without)
	n.loads.lastSubmit.Store(int64(boottime.Now()))
	if n.wantsFigures() {
		t.Error("figures are wanted although no queue has an objective")
	}
	a, asked := newAdmission(), 0
	for now := time.Minute; now < 2*time.Minute; now += loadInterval {
		if a.due(now) {
			asked++
		}
	}
	if asked != int(time.Minute/calmFiguresInterval) {
		t.Errorf("%d requests in a minute without a lack of workers", asked)
	}
	a.put(0, drain.Figures{Kinds: []drain.KindFigures{{ShortMS: 1}}}, time.Minute)
	if now := 2*time.Minute - loadInterval; !a.due(now) || !a.due(now+loadInterval) {
		t.Error("figures are not asked for in each turn while tasks find no workers")
	}
}
