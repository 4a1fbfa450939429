// Package platform declares the interfaces and types of the platform services that cactuswall uses: the log,
// the VM list and the agents of workers.
//
// Wire formats are implemented by adapter packages below this one. Every method of an interface may be slow,
// may fail, and may take effect although its reply is lost; the verdict of its error (package verdict) says
// whether it may have taken effect.
package platform

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/units"
)

// Offset is the position of an entry in a stream of the log. The first entry of a stream has offset 1.
// The offset of the record with which a node claims a set of workers is the fencing token of its requests to
// them: a worker rejects a token that is lower than the highest that it has seen.
type Offset uint64

// Entry is one entry of a stream.
type Entry struct {
	Offset Offset
	Data   []byte
}

// Page is the result of one read of a stream.
type Page struct {
	// Entries are sorted by offset.
	Entries []Entry
	// Oldest is the lowest offset that the log still retains. A read from a lower offset misses entries.
	Oldest Offset
	// Next is the offset for the next read.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns entries at and after the offset from. If there are none, it waits for at most wait.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// VMKind is the role of a VM.
type VMKind string

// The kinds of VM in the platform's list.
const (
	// EntryVM runs one of cactuswall's own nodes. Its address is the peer address of the node.
	EntryVM VMKind = "entry"
	// WorkerVM runs tasks. Its address is that of the worker's agent.
	WorkerVM VMKind = "worker"
	// EndpointVM is an instance of a service. Its address is the one for requests.
	EndpointVM VMKind = "endpoint"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A VM that no longer exists is not in the list, and its ID is never reused.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID            string
	Kind          VMKind
	State         VMState
	FailureDomain string
	Rack          string
	// Address is an IP address with a port.
	Address string
	// Service is the service that an endpoint belongs to.
	Service string
}

// VMList is the platform's list of VMs. It may be out of date.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// RunID identifies a run, which is one attempt of one task.
type RunID struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// RunState is the state of a run as its worker reports it.
type RunState string

// The states of a run. All but RunRunning are final.
const (
	RunRunning  RunState = "running"
	RunFinished RunState = "finished"
	RunFailed   RunState = "failed"
	// RunStopped means that the run was stopped on request.
	RunStopped RunState = "stopped"
	// RunLeaseExpired means that the worker stopped the run because its lease had expired.
	RunLeaseExpired RunState = "lapsed"
)

// Final reports whether the run has ended.
func (s RunState) Final() bool { return s != RunRunning }

// Run is a run as its worker reports it. Final runs are reported until Workers.Forget removes them.
type Run struct {
	ID    RunID
	State RunState
	// Size is the reservation that the run was started with.
	Size units.Resources
	// Usage is the measured resource usage. It may be out of date.
	Usage units.Resources
	// Progress is the fraction of the work that is done, from 0 to 1. It may be out of date.
	Progress float64
	// Checkpoint is the name of the newest confirmed checkpoint, or empty.
	Checkpoint string
	// CheckpointProgress is the value of Progress at the checkpoint.
	CheckpointProgress float64
	// Throttle is the fraction of its reservation that the run may use, from 0 to 1.
	Throttle float64
	// Address is the address for requests to a service instance, or empty.
	Address string
	// Latency is the recent 99th percentile of the response time of a service instance, or zero if it is not
	// known. It may be out of date.
	Latency time.Duration
	// Message is the worker's error message for a failed run.
	Message string
}

// Report is the state of a worker as its agent reports it.
type Report struct {
	// Worker is the ID of the worker's VM, or empty if the platform does not provide it.
	Worker   string
	Capacity units.Resources
	Runs     []Run
	// Token is the highest fencing token that the worker has seen.
	Token Offset
}

// StartRequest asks a worker to start a run.
type StartRequest struct {
	Token Offset
	Run   RunID
	Size  units.Resources
	// Lease is how long the run may continue without a renewal. The worker measures it from the receipt of
	// the request.
	Lease time.Duration
	// Checkpoint is the checkpoint to resume from, or empty.
	Checkpoint string
	// Service is the service of a service instance, or empty.
	Service string
	// Slots is the number of requests that a service instance processes concurrently.
	Slots int
}

// RenewRequest extends the leases of runs.
type RenewRequest struct {
	Token Offset
	Runs  []RunID
	Lease time.Duration
}

// Workers calls the agents of workers. The first argument after the context is the address of the agent.
//
// A worker rejects, with verdict NotRun and ReasonFenced, every request whose token is lower than the highest
// that it has seen. Start is idempotent for each RunID: a run that the worker knows is not started again.
type Workers interface {
	// Fence raises the worker's token and returns its report. From then on lower tokens are rejected.
	Fence(ctx context.Context, address string, token Offset) (Report, error)
	// Report returns the worker's report and has no side effects.
	Report(ctx context.Context, address string) (Report, error)
	// Start starts a run. A worker without enough free resources rejects it with verdict NotRun.
	Start(ctx context.Context, address string, req StartRequest) error
	// Renew extends the leases of runs and returns the report. Runs that are not running are ignored.
	Renew(ctx context.Context, address string, req RenewRequest) (Report, error)
	// Checkpoint requests a checkpoint. A later report confirms it.
	Checkpoint(ctx context.Context, address string, token Offset, run RunID) error
	// Throttle limits a run to a fraction of its reservation, from 0 to 1.
	Throttle(ctx context.Context, address string, token Offset, run RunID, share float64) error
	// Resize changes the reservation of a run. A worker without enough free resources rejects it with
	// verdict NotRun.
	Resize(ctx context.Context, address string, token Offset, run RunID, size units.Resources) error
	// Stop stops a run. A later report confirms it. From then on a start of the same RunID is rejected.
	Stop(ctx context.Context, address string, token Offset, run RunID) error
	// Forget removes final runs from the report.
	Forget(ctx context.Context, address string, token Offset, runs []RunID) error
}

// The reasons for which the platform, or the client for it, rejects a request.
//
// ReasonFenced means that the token is lower than the highest that the worker has seen, ReasonNoCapacity that
// the worker has too few free resources, ReasonStopped that the run to start was stopped before, ReasonUnknown
// that the worker does not know the run or the run has ended, ReasonBadRequest that the request is malformed,
// ReasonLogUnavailable that the log is not available, and ReasonTooLarge that the request or the reply is too
// large.
const (
	ReasonFenced         = "fenced"
	ReasonNoCapacity     = "no_room"
	ReasonStopped        = "run_stopped"
	ReasonUnknown        = "run_unknown"
	ReasonBadRequest     = "bad_call"
	ReasonLogUnavailable = "log_down"
	ReasonTooLarge       = "too_large"
)
