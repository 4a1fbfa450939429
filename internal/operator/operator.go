// Package operator is the edge towards operators: reports, publication of manifests, metrics and health.
//
// It places no work: operators publish a manifest and read reports.
package operator

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Status is a node's report on itself and on its failure domain.
type Status struct {
	Node            string    `json:"node"`
	FailureDomain   string    `json:"failure_domain"`
	Incarnation     uint64    `json:"incarnation"`
	Ready           bool      `json:"ready"`
	Stopping        bool      `json:"stopping"`
	ManifestVersion uint64    `json:"manifest_version"`
	Release         string    `json:"release"`
	LogReachable    bool      `json:"log_reachable"`
	ListReadAt      time.Time `json:"list_read_at"`
	Shards          []uint32  `json:"shards"`
	// TasksByState counts the tasks in the shards that the node owns.
	TasksByState map[string]int `json:"tasks_by_state"`
	Promises     []Promise      `json:"promises"`
	// PredictedMisses counts the batch tasks that are not expected to end before their deadline.
	PredictedMisses int `json:"predicted_misses"`
}

// Promise says whether one promise was kept, as far as this node can see.
type Promise struct {
	Name string `json:"name"`
	// Text is the promise in one sentence.
	Text string `json:"text"`
	// Watched says that the node notices a breach by itself.
	Watched bool `json:"watched"`
	// Broken counts the times that the node has seen the promise broken since its start.
	Broken     uint64    `json:"broken"`
	LastBroken time.Time `json:"last_broken,omitzero"`
	// LastCase names the task or worker that broke the promise last.
	LastCase string `json:"last_case,omitempty"`
}

// Task is the report on one task.
type Task struct {
	ID string `json:"id"`
	// Owned says that the answering node owns the task's shard. Other nodes know of a task only what the log says.
	Owned    bool      `json:"owned"`
	Team     string    `json:"team"`
	State    string    `json:"state"`
	Attempt  uint32    `json:"attempt"`
	Worker   string    `json:"worker,omitempty"`
	Progress float64   `json:"progress"`
	Deadline time.Time `json:"deadline,omitzero"`
	Since    time.Time `json:"since"`
	Reason   string    `json:"reason,omitempty"`
}

// Worker is the report on one worker.
type Worker struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Shard         uint32 `json:"shard"`
	// Owner is the node that owns the worker, or empty.
	Owner   string `json:"owner"`
	Leaving bool   `json:"leaving"`
	// Capacity and Committed are known to the owner only.
	Capacity  string `json:"capacity,omitempty"`
	Committed string `json:"committed,omitempty"`
	Tasks     int    `json:"tasks"`
}

// Node is the report on one node of the system.
type Node struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// OperatorAddress is where the node serves operators, an IP number with a port.
	OperatorAddress string `json:"operator_address"`
	State           string `json:"state"`
	// Condition says more than the state, for instance that the node is slow, or is empty.
	Condition string `json:"condition,omitempty"`
	// HeardAt is when the answering node last heard of a sign of life, by its own clock. Zero for itself.
	HeardAt         time.Time `json:"heard_at,omitzero"`
	ManifestVersion uint64    `json:"manifest_version"`
}

// Manifest is the manifest in force on a node.
type Manifest struct {
	Version  uint64 `json:"version"`
	Release  string `json:"release"`
	Document string `json:"document"`
}

// Publication is a request to put a manifest in force.
type Publication struct {
	// Document is the manifest, JSON with comments.
	Document string `json:"document"`
	// Replaces is the version that the publisher believes in force.
	Replaces uint64 `json:"replaces"`
}

// Decision says what became of a publication.
type Decision struct {
	Accepted bool `json:"accepted"`
	// Version is the version in force after the decision.
	Version uint64 `json:"version"`
	// Because says why the publication was not accepted.
	Because string `json:"because,omitempty"`
	// Known is false when the decision could not be learnt in time: the publication may still be accepted.
	Known bool `json:"known"`
}

// Explanation says what a task waits for.
type Explanation struct {
	Task    Task   `json:"task"`
	Summary string `json:"summary"`
	// Never is set when the task can never run as declared.
	Never bool `json:"never"`
}

// Source answers the questions of operators. A node implements it.
type Source interface {
	Status() Status
	Tasks() []Task
	Workers() []Worker
	Endpoints() []endpoint.Info
	Nodes() []Node
	Manifest() (Manifest, bool)
	Explain(task string) (Explanation, bool)
	Publish(ctx context.Context, p Publication) (Decision, error)
}
