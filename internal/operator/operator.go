// Package operator implements the HTTP API of a node for operators: reports, publication of manifests, metrics and
// health checks. It holds the server, the client and the types that they exchange.
//
// Operators cannot place work through the API. They publish a manifest and read reports.
package operator

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

// Status is a node's report on itself and on its failure domain.
type Status struct {
	Node            string `json:"node"`
	FailureDomain   string `json:"failure_domain"`
	Incarnation     uint64 `json:"incarnation"`
	Ready           bool   `json:"ready"`
	Stopping        bool   `json:"stopping"`
	ManifestVersion uint64 `json:"manifest_version"`
	Release         string `json:"release"`
	LogReachable    bool   `json:"log_reachable"`
	// Evacuated are the evacuated failure domains, as the active manifest of the node names them.
	Evacuated []string `json:"evacuated,omitempty"`
	// ListReadAt is when the node last read the platform's VM list.
	ListReadAt time.Time `json:"list_read_at"`
	// Shards lists the shards that the node owns. A shard is a set of workers and tasks of a failure domain.
	Shards []uint32 `json:"shards"`
	// TasksByState is the number of tasks in each state, over the shards that the node owns.
	TasksByState map[string]int `json:"tasks_by_state"`
	Guarantees   []Guarantee    `json:"promises"`
	// PredictedMisses is the number of batch tasks that are not expected to end before their deadline.
	PredictedMisses int `json:"predicted_misses"`
}

// Guarantee reports whether a guarantee of the scheduler has been kept, as far as this node can observe.
type Guarantee struct {
	Name string `json:"name"`
	// Text states the guarantee in one sentence.
	Text string `json:"text"`
	// Detectable is set when the node detects violations of the guarantee by itself.
	Detectable bool `json:"watched"`
	// Violations is the number of violations that the node has observed since it started.
	Violations    uint64    `json:"broken"`
	LastViolation time.Time `json:"last_broken,omitzero"`
	// LastSubject names the task or worker of the latest violation.
	LastSubject string `json:"last_case,omitempty"`
}

// Task is the report on one task.
type Task struct {
	ID string `json:"id"`
	// Owned is set when the responding node owns the task's shard. Other nodes know only what the log records about
	// the task.
	Owned   bool   `json:"owned"`
	Team    string `json:"team"`
	State   string `json:"state"`
	Attempt uint32 `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	// Progress is the fraction of the work that is done, from 0 to 1.
	Progress float64   `json:"progress"`
	Deadline time.Time `json:"deadline,omitzero"`
	// Since is when the task entered its state.
	Since  time.Time `json:"since"`
	Reason string    `json:"reason,omitempty"`
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
	// Capacity is the resources of the worker, and Committed the part of them that is reserved, both as formatted
	// by units.Resources.String. They are known only to the owner.
	Capacity  string `json:"capacity,omitempty"`
	Committed string `json:"committed,omitempty"`
	// Tasks is the number of tasks with a reservation on the worker, 0 unless the responding node owns the worker.
	Tasks int `json:"tasks"`
}

// Node is the report on one node of the system.
type Node struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// OperatorAddress is where the node serves operators, as IP:PORT.
	OperatorAddress string `json:"operator_address"`
	State           string `json:"state"`
	// Condition adds detail to the state, for instance that the node is slow. It may be empty.
	Condition string `json:"condition,omitempty"`
	// LastSeenAt is when the responding node last learned that the node was alive, by the clock of the responding
	// node. It is zero for the responding node itself.
	LastSeenAt      time.Time `json:"heard_at,omitzero"`
	ManifestVersion uint64    `json:"manifest_version"`
}

// Manifest is the active manifest of a node.
type Manifest struct {
	Version  uint64 `json:"version"`
	Release  string `json:"release"`
	Document string `json:"document"`
}

// Publication is a request to make a manifest the active one.
type Publication struct {
	// Document is the manifest as JSON with comments.
	Document string `json:"document"`
	// Replaces is the version that the publisher believes to be active.
	Replaces uint64 `json:"replaces"`
}

// Decision is the outcome of a publication.
type Decision struct {
	Accepted bool `json:"accepted"`
	// Version is the version that is active after the decision.
	Version uint64 `json:"version"`
	// Reason is the reason why the publication was not accepted.
	Reason string `json:"because,omitempty"`
	// Known is false when the outcome could not be determined in time. The publication may still be accepted.
	Known bool `json:"known"`
}

// Explanation states why a task is waiting.
type Explanation struct {
	Task    Task   `json:"task"`
	Summary string `json:"summary"`
	// Unschedulable is set when the task can never run as declared.
	Unschedulable bool `json:"never"`
}

// Source provides the data for the API and accepts publications. A node implements it. The second result of Manifest
// is false when no manifest is active, that of Explain when the task is unknown or no explanation is available.
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
