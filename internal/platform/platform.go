// Package platform declares what cactuswall uses of the platform, in the project's own words.
//
// Wire forms live in adapter packages below this one. Every method of an interface may be slow, may fail,
// and may take effect although its reply is lost; errors carry a verdict (package verdict) that says so.
package platform

import (
	"context"
	"time"

	"cactuswall.example/cactuswall/internal/units"
)

// Offset is the position of an entry in a stream of the log. The first entry of a stream has offset 1.
// Offsets of ownership claims serve as fencing tokens.
type Offset uint64

// Entry is one entry of a stream.
type Entry struct {
	Offset Offset
	Data   []byte
}

// Page is the result of one read of a stream.
type Page struct {
	// Entries are in the order of their offsets.
	Entries []Entry
	// Oldest is the first offset that the log still keeps. A reader that asks from below it has a gap.
	Oldest Offset
	// Next is the offset to read from next.
	Next Offset
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds one entry to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns entries from an offset on. When there is none it waits, at most for wait.
	Read(ctx context.Context, stream string, from Offset, wait time.Duration) (Page, error)
}

// VMKind says what a VM serves for.
type VMKind string

// The kinds of VM in the platform's list.
const (
	// EntryVM runs one of cactuswall's own nodes. Its address is the peer address of the node.
	EntryVM VMKind = "entry"
	// WorkerVM runs tasks. Its address is that of the worker's agent.
	WorkerVM VMKind = "worker"
	// EndpointVM is an instance of a service. Its address is where it answers requests.
	EndpointVM VMKind = "endpoint"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A VM that is gone is no longer in the list, and its ID is never used again.
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
	// Address is an IP number with a port.
	Address string
	// Service is the service that an endpoint belongs to.
	Service string
}

// VMList is the platform's list of VMs. It lags behind the truth.
type VMList interface {
	List(ctx context.Context) ([]VM, error)
}

// RunID names one attempt of one task.
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
	// RunLapsed means that the worker stopped the run because its lease had lapsed.
	RunLapsed RunState = "lapsed"
)

// Final reports whether the run has ended.
func (s RunState) Final() bool { return s != RunRunning }

// Run is one run as its worker reports it. Final runs are reported until they are forgotten.
type Run struct {
	ID    RunID
	State RunState
	// Size is the reservation that the run was started with.
	Size units.Resources
	// Usage is the measured usage. It lags behind the truth.
	Usage units.Resources
	// Progress is the share of the work that is done, from 0 to 1. It lags behind the truth.
	Progress float64
	// Checkpoint names the newest confirmed checkpoint, or is empty.
	Checkpoint string
	// CheckpointProgress is the share of the work that the checkpoint holds.
	CheckpointProgress float64
	// Throttle is the share of its reservation that the run may use, from 0 to 1.
	Throttle float64
	// Address is where a service instance answers requests, or empty.
	Address string
	// Latency is the recent 99th percentile of the answer time of a service instance, zero when it is not
	// known. It lags behind the truth.
	Latency time.Duration
	// Message is the worker's word on a failure.
	Message string
}

// Report is what a worker says about itself.
type Report struct {
	// Worker is the ID of the VM that answers, or empty where the platform does not tell it.
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
	// Lease is how long the run may go on without a renewal, counted by the worker from the receipt.
	Lease time.Duration
	// Checkpoint is where to resume from, or empty.
	Checkpoint string
	// Service is the service of a service instance, or empty.
	Service string
	// Slots bounds the requests that a service instance works on at once.
	Slots int
}

// RenewRequest extends the leases of runs.
type RenewRequest struct {
	Token Offset
	Runs  []RunID
	Lease time.Duration
}

// Workers reaches the agents of workers. The first argument after the context is the worker's address.
//
// A worker refuses, with verdict NotRun and ReasonFenced, every request whose token is below the highest
// that it has seen. Start is idempotent for each RunID: a run that is known is not started again.
type Workers interface {
	// Fence raises the worker's token and returns its report. After it, older tokens are refused.
	Fence(ctx context.Context, address string, token Offset) (Report, error)
	// Report returns the worker's report without any effect.
	Report(ctx context.Context, address string) (Report, error)
	// Start starts a run. A worker without room refuses with verdict NotRun.
	Start(ctx context.Context, address string, req StartRequest) error
	// Renew extends leases and returns the report. Runs that are not running are passed over.
	Renew(ctx context.Context, address string, req RenewRequest) (Report, error)
	// Checkpoint asks for a checkpoint; the report confirms it later.
	Checkpoint(ctx context.Context, address string, token Offset, run RunID) error
	// Throttle limits a run to a share, from 0 to 1, of its reservation.
	Throttle(ctx context.Context, address string, token Offset, run RunID, share float64) error
	// Resize changes the reservation of a run. A worker without room refuses with verdict NotRun.
	Resize(ctx context.Context, address string, token Offset, run RunID, size units.Resources) error
	// Stop ends a run; the report confirms it. Afterwards a start of the same RunID is refused.
	Stop(ctx context.Context, address string, token Offset, run RunID) error
	// Forget removes final runs from the report.
	Forget(ctx context.Context, address string, token Offset, runs []RunID) error
}

// Reasons that the platform gives for a refusal.
const (
	ReasonFenced   = "fenced"
	ReasonNoRoom   = "no_room"
	ReasonStopped  = "run_stopped"
	ReasonUnknown  = "run_unknown"
	ReasonBadCall  = "bad_call"
	ReasonLogDown  = "log_down"
	ReasonTooLarge = "too_large"
)
