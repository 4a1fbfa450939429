package node

import (
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/operator"
	"cactuswall.example/cactuswall/internal/task"
)

// views are copies of the tables for readers in other goroutines. The engine replaces them each tick.
type views struct {
	inForce atomic.Pointer[config.InForce]
	report  atomic.Pointer[report]
}

// report is everything that operators may ask for.
type report struct {
	status  operator.Status
	tasks   []operator.Task
	workers []operator.Worker
	nodes   []operator.Node
}

// logSilence is how long the log may be silent before it counts as out of reach. It exceeds one read wait.
const logSilence = 8 * time.Second

func (e *engine) publishViews(now time.Time) {
	e.views.inForce.Store(e.config.InForce())
	r := &report{tasks: e.taskReports(now), workers: e.workerReports(), nodes: e.nodeReports(now)}
	r.status = e.status(now)
	e.views.report.Store(r)
}

func (e *engine) status(now time.Time) operator.Status {
	s := operator.Status{
		Node:          e.self.Node,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   e.self.Incarnation,
		Ready:         e.config.InForce() != nil && !e.stopping,
		Stopping:      e.stopping,
		LogReachable:  e.caughtUp && now.Sub(e.logReadAt) < logSilence,
		ListReadAt:    e.listReadAt,
		TasksByState:  make(map[string]int),
		Promises:      e.promises.reports(),
	}
	if inForce := e.config.InForce(); inForce != nil {
		s.ManifestVersion = uint64(inForce.Version)
		s.Release = inForce.Manifest.Release
	}
	for shard := range uint32(failuredomain.Shards) {
		if _, held := e.owner.Holds(shard, now); held {
			s.Shards = append(s.Shards, shard)
		}
	}
	for _, row := range e.taskRow.All() {
		if e.ownsTask(row, now) {
			s.TasksByState[string(row.State)]++
		}
	}
	return s
}

// ownsTask reports whether this node holds the shard of a task, and so knows its state best.
func (e *engine) ownsTask(row *task.Task, now time.Time) bool {
	_, held := e.owner.Holds(e.ledger.ShardOf(row.ID), now)
	return held
}

func (e *engine) taskReports(now time.Time) []operator.Task {
	rows := e.taskRow.All()
	reports := make([]operator.Task, len(rows))
	for i, row := range rows {
		reports[i] = taskReport(row)
		reports[i].Owned = e.ownsTask(row, now)
	}
	return reports
}

func taskReport(row *task.Task) operator.Task {
	return operator.Task{
		ID:       row.ID,
		Team:     row.Team,
		State:    string(row.State),
		Attempt:  row.Attempt,
		Worker:   row.Worker,
		Progress: row.Progress,
		Deadline: row.Deadline,
		Since:    row.Since,
		Reason:   row.Reason,
	}
}

func (e *engine) workerReports() []operator.Worker {
	rows := e.workerRow.All()
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
			reports[i].Tasks = len(w.Reserved)
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
			State:           string(e.members.StateOf(m.Node, now)),
			ManifestVersion: m.ManifestVersion,
		}
	}
	return reports
}

func (n *Node) report() *report {
	if r := n.engine.views.report.Load(); r != nil {
		return r
	}
	return &report{status: operator.Status{Node: n.settings.Node, FailureDomain: n.settings.FailureDomain}}
}

// Status implements operator.Source.
func (n *Node) Status() operator.Status { return n.report().status }

// Tasks implements operator.Source.
func (n *Node) Tasks() []operator.Task { return n.report().tasks }

// Workers implements operator.Source.
func (n *Node) Workers() []operator.Worker { return n.report().workers }

// Nodes implements operator.Source.
func (n *Node) Nodes() []operator.Node { return n.report().nodes }

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
	inForce := n.engine.views.inForce.Load()
	if inForce == nil {
		return operator.Manifest{}, false
	}
	document, err := inForce.Manifest.Encode()
	if err != nil {
		return operator.Manifest{}, false
	}
	return operator.Manifest{
		Version:  uint64(inForce.Version),
		Release:  inForce.Manifest.Release,
		Document: string(document),
	}, true
}

// Explain implements operator.Source.
func (n *Node) Explain(id string) (operator.Explanation, bool) {
	for _, t := range n.report().tasks {
		if t.ID == id {
			return explain(t), true
		}
	}
	return operator.Explanation{}, false
}

func explain(t operator.Task) operator.Explanation {
	summary := "The task is " + t.State + "."
	if t.Reason != "" {
		summary += " Reason: " + t.Reason + "."
	}
	return operator.Explanation{Task: t, Summary: summary}
}
