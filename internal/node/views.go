package node

import (
	"context"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/guarantee"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/scheduler"
	"cactuswall.example/cactuswall/internal/task"
)

// views holds state that goroutines other than the engine's may read.
type views struct {
	activeManifest atomic.Pointer[config.ActiveManifest]
}

// logReadTimeout is the time since the last successful read after which the log counts as unreachable. It
// exceeds the longest wait of a single read.
const logReadTimeout = 8 * time.Second

// operatorQueryTimeout bounds how long an operator's request waits for the engine.
const operatorQueryTimeout = 2 * time.Second

// publishViews makes the active manifest available to goroutines other than the engine's.
func (e *engine) publishViews(time.Time) {
	e.views.activeManifest.Store(e.activeManifest)
}

func (e *engine) status(now time.Time) operator.Status {
	s := operator.Status{
		Node:          e.self.Node,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   e.self.Incarnation,
		Ready:         e.ready(),
		Stopping:      e.stopping,
		LogReachable:  e.caughtUp && now.Sub(e.logReadAt) < logReadTimeout,
		ListReadAt:    e.listReadAt,
		TasksByState:  make(map[string]int),
	}
	if activeManifest := e.activeManifest; activeManifest != nil {
		s.ManifestVersion = uint64(activeManifest.Version)
		s.Release = activeManifest.Manifest.Release
		s.Evacuated = activeManifest.Manifest.EvacuatedDomains()
	}
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		if _, held := e.owner.Authority(shard, now); held {
			s.Shards = append(s.Shards, shard)
		}
	}
	for _, row := range e.taskTable.All() {
		if e.ownsTask(row, now) {
			s.TasksByState[string(row.State)]++
		}
	}
	s.Guarantees = guaranteeReports(e.guarantees.Report())
	s.PredictedMisses = e.predictedMisses(now)
	return s
}

// ownsTask reports whether this node holds the shard of a task, in which case its state is the most recent.
func (e *engine) ownsTask(row *task.Task, now time.Time) bool {
	_, held := e.owner.Authority(row.Shard, now)
	return held
}

func guaranteeReports(records []guarantee.Violations) []operator.Guarantee {
	reports := make([]operator.Guarantee, len(records))
	for i, r := range records {
		reports[i] = operator.Guarantee{
			Name:          string(r.ID),
			Text:          r.Text,
			Detectable:    r.Detectable,
			Violations:    r.Count,
			LastViolation: r.LastAt,
			LastSubject:   r.LastSubject,
		}
	}
	return reports
}

// predictedMisses returns the number of batch tasks that are expected to miss their deadline.
func (e *engine) predictedMisses(now time.Time) int {
	count := 0
	for _, row := range e.taskTable.All() {
		if e.missesDeadline(row, now) {
			count++
		}
	}
	return count
}

func (e *engine) missesDeadline(row *task.Task, now time.Time) bool {
	if row.IsService() || row.State.Final() || row.Withdrawn {
		return false
	}
	return now.Add(estimates{e}.RunTime(row)).After(row.Deadline)
}

func (e *engine) taskReports(now time.Time) []operator.Task {
	rows := e.taskTable.All()
	reports := make([]operator.Task, len(rows))
	for i, row := range rows {
		reports[i] = e.taskReport(row, now)
	}
	return reports
}

func (e *engine) taskReport(row *task.Task, now time.Time) operator.Task {
	r := operator.Task{
		ID:       row.ID,
		Owned:    e.ownsTask(row, now),
		Team:     row.Team,
		State:    string(row.State),
		Attempt:  row.Attempt,
		Worker:   row.Worker,
		Progress: row.Progress,
		Deadline: row.Deadline,
		Since:    row.Since,
		Reason:   row.Reason,
	}
	switch row.State {
	case task.Waiting:
		r.Reason = e.waitReason(row, now)
	case task.Placed:
		r.Reason = "runs under node " + e.shardOwner(row.Shard)
	}
	return r
}

// waitReason returns why a task is waiting. It includes the reason for which its last attempt ended.
func (e *engine) waitReason(row *task.Task, now time.Time) string {
	reason := row.Reason
	add := func(text string) {
		if reason != "" {
			reason += "; "
		}
		reason += text
	}
	if e.evacuation.active {
		add("the failure domain is evacuated")
		return reason
	}
	if now.Before(row.NotBefore) {
		add("held back until " + row.NotBefore.UTC().Format(time.RFC3339))
		return reason
	}
	if _, held := e.owner.Authority(row.Shard, now); !held {
		add("waits under node " + e.shardOwner(row.Shard))
		return reason
	}
	if g := e.taskTable.Group(row); g != nil && g.Reason != "" {
		add(g.Reason)
	}
	return reason
}

// shardOwner returns the node that holds a shard, or a placeholder text if there is none.
func (e *engine) shardOwner(shard uint32) string {
	c := e.ledger.Claim(shard)
	if c.Released || c.Owner.Node == "" {
		return "(none yet)"
	}
	return c.Owner.Node
}

// explain describes the state of a task, why it is waiting, and whether it can ever run.
func (e *engine) explain(row *task.Task, now time.Time) operator.Explanation {
	report := e.taskReport(row, now)
	summary := "The task is " + report.State + "."
	if report.Reason != "" {
		summary += " Reason: " + report.Reason + "."
	}
	if e.missesDeadline(row, now) {
		summary += " It is predicted to miss its deadline."
	}
	never := false
	if row.State == task.Waiting && e.activeManifest != nil {
		var reason string
		if reason, never = scheduler.Unschedulable(e.planInput(now), row); never {
			summary += " It can never run as declared: " + reason + "."
		}
	}
	return operator.Explanation{Task: report, Summary: summary, Unschedulable: never}
}

func (e *engine) workerReports() []operator.Worker {
	rows := e.workerTable.All()
	reports := make([]operator.Worker, len(rows))
	for i, w := range rows {
		reports[i] = operator.Worker{
			ID:            w.ID,
			FailureDomain: e.settings.FailureDomain,
			Rack:          w.Rack,
			Shard:         w.Shard,
			Leaving:       w.Leaving,
		}
		if c := e.ledger.Claim(w.Shard); !c.Released {
			reports[i].Owner = c.Owner.Node
		}
		if w.Token != 0 {
			reports[i].Capacity = w.Capacity.String()
			reports[i].Committed = w.Committed().String()
			reports[i].Tasks = w.ReservationCount()
		}
	}
	return reports
}

func (e *engine) nodeReports(now time.Time) []operator.Node {
	members := e.members.All()
	reports := make([]operator.Node, len(members))
	for i, m := range members {
		reports[i] = operator.Node{
			Node:            m.Node,
			FailureDomain:   m.FailureDomain,
			Address:         m.Address,
			OperatorAddress: m.OperatorAddress,
			LastSeenAt:      m.AdvancedAt,
			State:           string(e.members.StateOf(m.Node, now)),
			Condition:       string(e.members.ConditionOf(m.Node, now)),
			ManifestVersion: m.ManifestVersion,
		}
	}
	return reports
}

// query runs f in the engine's goroutine. If the node has stopped, f does not run. If the engine does not
// get to f within operatorQueryTimeout, query returns before f has run.
func (n *Node) query(f func(now time.Time)) {
	ctx, cancel := context.WithTimeout(n.ctx, operatorQueryTimeout)
	defer cancel()
	n.engine.runAndWait(ctx, f)
}

// Status implements operator.Source.
func (n *Node) Status() operator.Status {
	result := make(chan operator.Status, 1)
	n.query(func(now time.Time) { result <- n.engine.status(now) })
	select {
	case status := <-result:
		return status
	default:
		return operator.Status{Node: n.settings.Node, FailureDomain: n.settings.FailureDomain}
	}
}

// Tasks implements operator.Source.
func (n *Node) Tasks() []operator.Task {
	return queryRows(n, n.engine.taskReports)
}

// Workers implements operator.Source.
func (n *Node) Workers() []operator.Worker {
	return queryRows(n, func(time.Time) []operator.Worker { return n.engine.workerReports() })
}

// Nodes implements operator.Source.
func (n *Node) Nodes() []operator.Node {
	return queryRows(n, n.engine.nodeReports)
}

// queryRows returns the result of a query, or nil if the engine did not answer in time.
func queryRows[T any](n *Node, query func(now time.Time) []T) []T {
	result := make(chan []T, 1)
	n.query(func(now time.Time) { result <- query(now) })
	select {
	case rows := <-result:
		return rows
	default:
		return nil
	}
}

// Endpoints implements operator.Source.
func (n *Node) Endpoints() []endpoint.Info {
	all := n.engine.directory.All()
	infos := make([]endpoint.Info, len(all))
	for i, e := range all {
		infos[i] = e.Info
		infos[i].Leaving = e.Leaving()
	}
	return infos
}

// Manifest implements operator.Source.
func (n *Node) Manifest() (operator.Manifest, bool) {
	activeManifest := n.engine.views.activeManifest.Load()
	if activeManifest == nil {
		return operator.Manifest{}, false
	}
	document, err := activeManifest.Manifest.Encode()
	if err != nil {
		return operator.Manifest{}, false
	}
	return operator.Manifest{
		Version:  uint64(activeManifest.Version),
		Release:  activeManifest.Manifest.Release,
		Document: string(document),
	}, true
}

// Explain implements operator.Source.
func (n *Node) Explain(id string) (operator.Explanation, bool) {
	result := make(chan operator.Explanation, 1)
	n.query(func(now time.Time) {
		if row := n.engine.taskTable.Get(id); row != nil {
			result <- n.engine.explain(row, now)
		}
	})
	select {
	case explanation := <-result:
		return explanation, true
	default:
		return operator.Explanation{}, false
	}
}
