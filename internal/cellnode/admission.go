package cellnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/drain"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/queue"
	"cactuswall.example/cactuswall/internal/verdict"
)

const (
	// figuresPath is where the peers' server answers with the figures that the node knows. The messages of package cellrpc
	// are generated and cannot carry them.
	figuresPath = "/-/figures"
	// maxFiguresBytes bounds a reply: the kinds of all cells, at some 200 bytes each.
	maxFiguresBytes = 2 << 20
	// calmFiguresInterval is the interval at which a node asks for figures while tasks find workers. It is below maxLoadAge.
	calmFiguresInterval = 3 * time.Second
)

// Reasons for the refusal of a job that was not stored.
const (
	reasonNoCapacityInTime = verdict.Reason("no_capacity_in_time")
	reasonNeverFits        = verdict.Reason("fits_no_worker")
)

// admission holds what a node knows of the drain of the cells, and the jobs that it refused. Points in time are on the clock of
// package boottime.
type admission struct {
	mu    sync.Mutex
	cells map[int]*figuresEntry
	line  *drain.Line
	// askedAt is when the node last asked another one, and wantedAt when another one last asked it.
	askedAt  time.Duration
	wantedAt atomic.Int64
	// attempted are the jobs that this process has tried to store.
	attempted *acceptedJobs
}

type figuresEntry struct {
	figures drain.Figures
	at      time.Duration
	short   bool // the figures may cause a refusal
}

func newAdmission() *admission {
	return &admission{cells: make(map[int]*figuresEntry), line: drain.NewLine(), attempted: newAcceptedJobs()}
}

// put records figures, unless newer ones are known.
func (a *admission) put(cell int, f drain.Figures, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry := a.cells[cell]; entry == nil || at >= entry.at {
		a.cells[cell] = &figuresEntry{figures: f, at: at, short: f.Short()}
	}
}

// recent returns the figures of cells that are not older than maxLoadAge, and nil for each other one. short is set if all of them
// may cause a refusal. mu must be held; the figures are those of the entries.
func (a *admission) recent(cells []int, now time.Duration) (figures map[int]*drain.Figures, short bool) {
	figures, short = make(map[int]*drain.Figures, len(cells)), true
	for _, cell := range cells {
		entry := a.cells[cell]
		if entry == nil || now-entry.at > maxLoadAge {
			figures[cell], short = nil, false
			continue
		}
		entry.figures.Age = now - entry.at
		figures[cell], short = &entry.figures, short && entry.short
	}
	return figures, short
}

// hasObjective reports whether the configuration gives a queue both parts of an objective.
func hasObjective(q *queue.Queue) bool { return q.CriticalPathFactor > 0 && q.DeadlineSlack > 0 }

// mayBeRefused reports whether jobs like this one are ever refused for want of capacity.
func mayBeRefused(q *queue.Queue, spec *jobs.Spec) bool {
	return hasObjective(q) && !spec.LongRunning() && spec.OccurrenceCount == 0
}

// newDrainJob returns the job for a decision.
func newDrainJob(q *queue.Queue, spec *jobs.Spec) *drain.Job {
	return &drain.Job{Service: q.Service, Queue: q.Name, Priority: q.Priority, Spec: spec, Objective: q.DeadlineSlack +
		time.Duration(float64(drain.CriticalPath(spec))*q.CriticalPathFactor)}
}

// admissionResult is the decision on a job.
type admissionResult struct {
	drain.Decision
	reason     verdict.Reason // of a refusal
	cause      string
	retryAfter time.Duration
}

// decide decides on a job by the figures of the active cells.
func (a *admission) decide(id jobs.ID, j *drain.Job, active []int, now time.Duration) admissionResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	figures, short := a.recent(active, now)
	if step, never := drain.NeverFits(figures, j); never {
		return admissionResult{Decision: drain.Decision{Refused: true}, reason: reasonNeverFits,
			cause: fmt.Sprintf("step %d requests more than any worker has: %s", step, j.Spec.Steps[step].Summary())}
	}
	if !short {
		return admissionResult{}
	}
	j.Ahead = a.line.Ahead(id, j.Priority, now)
	d := drain.Decide(figures, j)
	if !d.Refused {
		return admissionResult{Decision: d}
	}
	return admissionResult{Decision: d, reason: reasonNoCapacityInTime, retryAfter: d.RetryAfter(j, rand.Float64),
		cause: fmt.Sprintf("no room for this kind within its objective: next in %.1f s", math.Ceil(d.Next.Seconds()*10)/10)}
}

// admitted is an accepted job. job is nil if nothing spoke against it.
type admitted struct {
	job      *drain.Job
	decision drain.Decision
}

// admit decides whether a job is accepted. refused is nil if it is.
func (g gateway) admit(ctx context.Context, id jobs.ID, q *queue.Queue, spec *jobs.Spec) (accepted admitted, refused *response) {
	n := g.node
	n.loads.lastSubmit.Store(int64(boottime.Now()))
	plan := n.cells.table().Plan()
	if !mayBeRefused(q, spec) || !n.admission.mayRefuse(q.Service, spec, plan, boottime.Now()) {
		return admitted{}, nil
	}
	j := newDrainJob(q, spec)
	d := n.admission.decide(id, j, plan.Active(), boottime.Now())
	if d.Refused {
		if refused := g.refuse(ctx, id, q, j, &d); refused != nil {
			return admitted{}, refused
		}
	}
	return admitted{job: j, decision: d.Decision}, nil
}

// mayRefuse reports whether the figures of the active cells may cause the refusal of a job. It is false for nearly all jobs, so it
// allocates nothing.
func (a *admission) mayRefuse(service string, spec *jobs.Spec, plan cellmap.Plan, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	short := true
	for cell := range plan.Cells {
		if !plan.Cells[cell].Active {
			continue
		}
		entry := a.cells[cell]
		if entry == nil || now-entry.at > maxLoadAge {
			return false
		}
		short = short && entry.short
	}
	if short {
		return true
	}
	for i := range spec.Steps {
		if !a.fits(service, spec.Steps[i].Requested()) {
			return true
		}
	}
	return false
}

// fits reports whether a worker of any cell can hold a request. mu must be held.
func (a *admission) fits(service string, request jobs.Resources) bool {
	for _, entry := range a.cells {
		for _, shape := range entry.figures.Shapes[service] {
			if shape.Contains(request) {
				return true
			}
		}
	}
	return false
}

// accepted notes that a job is to be stored for a cell, and returns the cell where it is to be stored: another one if it would be
// done too late in this one and in time in that.
func (a *admission) accepted(id jobs.ID, job admitted, cell int) int {
	if job.job == nil {
		a.attempted.add(id, cell)
		return cell
	}
	if d := &job.decision; !d.Refused && d.Late[cell] && d.Known && !d.Late[d.Cell] {
		cell = d.Cell
	}
	a.attempted.add(id, cell)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line.Accepted(id)
	if entry := a.cells[cell]; entry != nil && entry.short {
		entry.figures.Assume(job.job)
	}
	return cell
}

// refuse returns the response to a refused job. It returns nil if the job may have been accepted before: a refusal says that
// it never runs.
func (g gateway) refuse(ctx context.Context, id jobs.ID, q *queue.Queue, j *drain.Job, d *admissionResult) *response {
	n := g.node
	if _, attempted := n.admission.attempted.cellOf(id); attempted {
		n.countAdmission("attempted_before")
		return nil
	}
	status, ok := g.queryStatus(ctx, id, 0)
	switch {
	case !ok:
		n.countAdmission("owner_unsure")
		return nil
	case status.known:
		n.countAdmission("known")
		n.acceptedJobs.add(id, status.cell)
		return &response{status: http.StatusOK, reason: reasonDuplicate}
	}
	if d.reason == reasonNoCapacityInTime {
		n.admission.refused(id, j, d.retryAfter, boottime.Now())
	}
	n.countAdmission(string(d.reason))
	n.log.Info("job refused", zap.String("job", string(id)), zap.String("queue", q.Name), zap.String("reason", string(d.reason)), zap.String("cause", d.cause),
		zap.Duration("wait", d.Wait), zap.Duration("done", d.Done), zap.Duration("limit", j.Limit()), zap.Duration("retry_after", d.retryAfter))
	return &response{status: http.StatusTooManyRequests, reason: d.reason, retryAfter: d.retryAfter}
}

func (a *admission) refused(id jobs.ID, j *drain.Job, after, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line.Refused(id, j, after, now)
}

// countAdmission counts a job that would be refused by the figures: the reason for the refusal, or why it was not refused.
func (n *Node) countAdmission(result string) {
	n.metrics.GetOrCreateCounter(`cactuswall_admission_refusals_total{result="` + result + `"}`).Inc()
}

// figuresReply is the reply to a request for figures.
type figuresReply struct {
	Cells []cellFigures `json:"cells"`
}

type cellFigures struct {
	Cell  int   `json:"cell"`
	AgeMS int64 `json:"age_ms"`
	drain.Figures
}

// serveFigures answers with the figures that this node knows.
func (n *Node) serveFigures(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	a := n.admission
	a.wantedAt.Store(int64(boottime.Now()))
	n.readOwnFigures(n.owners())
	var reply figuresReply
	a.mu.Lock()
	for cell, entry := range a.cells {
		if age := boottime.Now() - entry.at; age <= maxLoadAge {
			reply.Cells = append(reply.Cells, cellFigures{Cell: cell, AgeMS: age.Milliseconds(), Figures: entry.figures})
		}
	}
	body, err := json.Marshal(&reply)
	a.mu.Unlock()
	if err != nil {
		n.log.Error("failed to encode figures", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // a caller that is gone asks again
}

// readOwnFigures records the figures of the cells that this node owns, unless that was done shortly before.
func (n *Node) readOwnFigures(owned []*owner) {
	for _, o := range owned {
		o.mu.Lock()
		if now := boottime.Now(); o.loaded && (o.figuresAt == 0 || now-o.figuresAt > loadInterval/4) {
			o.figuresAt = now
			n.admission.put(o.member.cell, o.cell.DrainFigures(), now)
		}
		o.mu.Unlock()
	}
}

// wantsFigures reports whether jobs that may be refused arrive here or at a node that asks this one.
func (n *Node) wantsFigures() bool {
	config := n.config.Get()
	if config == nil {
		return false
	}
	latest := time.Duration(max(n.loads.lastSubmit.Load(), n.admission.wantedAt.Load()))
	if latest == 0 || boottime.Now()-latest >= submitRecency {
		return false
	}
	for i := range config.Queues {
		if hasObjective(&config.Queues[i]) {
			return true
		}
	}
	return false
}

// exchangeFigures keeps the figures of the cells up to date while jobs arrive. An owner asks those of the cells in which work waits;
// any other node asks the owner of a cell in its failure domain, less often while tasks find workers.
func (n *Node) exchangeFigures(ctx context.Context, plan cellmap.Plan, owned []*owner) {
	if !n.wantsFigures() {
		return
	}
	if len(owned) == 0 {
		homes := plan.Homes(n.settings.FailureDomain)
		if n.admission.due(boottime.Now()) {
			n.askFigures(ctx, homes[rand.IntN(len(homes))])
		}
		return
	}
	n.readOwnFigures(owned)
	loads := n.loads.recent()
	var group errgroup.Group
	for _, cell := range plan.Active() {
		if load := loads[cell]; n.ownerOf(cell) != nil || load.WaitingMilliCPU == 0 && load.BestEffort.WaitingMilliCPU == 0 {
			continue
		}
		group.Go(n.guarded("ask for figures", func() error {
			n.askFigures(ctx, cell)
			return nil
		}))
	}
	_ = group.Wait() // a panic, the only error, has been recorded
}

// due reports whether the node should ask for figures, and notes that it does.
func (a *admission) due(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	calm := true
	for _, entry := range a.cells {
		for i := range entry.figures.Kinds {
			calm = calm && entry.figures.Kinds[i].ShortMS == 0
		}
	}
	if calm && a.askedAt != 0 && now-a.askedAt < calmFiguresInterval {
		return false
	}
	a.askedAt = now
	return true
}

// askFigures asks the owner of a cell for the figures that it knows. An owner of an earlier version answers with an error, so that
// nothing is refused.
func (n *Node) askFigures(ctx context.Context, cell int) {
	address := n.ownerAddress(ctx, cell)
	if address == "" {
		return
	}
	asked := boottime.Now()
	reply, err := n.fetchFigures(ctx, address)
	if err != nil {
		n.metrics.GetOrCreateCounter(`cactuswall_admission_figures_calls_total{result="failed"}`).Inc()
		return
	}
	n.metrics.GetOrCreateCounter(`cactuswall_admission_figures_calls_total{result="ok"}`).Inc()
	for i := range reply.Cells {
		f := &reply.Cells[i]
		if f.AgeMS < 0 || n.ownerOf(f.Cell) != nil {
			continue
		}
		n.admission.put(f.Cell, f.Figures, asked-time.Duration(f.AgeMS)*time.Millisecond)
	}
}

func (n *Node) fetchFigures(ctx context.Context, address string) (*figuresReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+figuresPath, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := n.peers.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFiguresBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("status %d", response.StatusCode)
	}
	var reply figuresReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, trace.Wrap(err)
	}
	return &reply, nil
}

// peerHandler serves calls from other nodes.
func (n *Node) peerHandler() http.Handler {
	calls, formerCalls := cellrpc.NewCellServer(cellServer{n}), cellrpc.NewFormerOwnerServer(formerOwnerServer{n})
	candidateCalls := cellrpc.NewCandidatesServer(candidatesServer{n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == figuresPath:
			n.serveFigures(w, r)
		case strings.HasPrefix(r.URL.Path, formerCalls.PathPrefix()):
			formerCalls.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, candidateCalls.PathPrefix()):
			candidateCalls.ServeHTTP(w, r)
		default:
			calls.ServeHTTP(w, r)
		}
	})
}
