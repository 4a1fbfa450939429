// Package settings reads and validates the static settings of one node process.
//
// Settings hold the addresses, the failure domain, and the periods and limits of a process. They are read
// once at startup; everything that can change while the process runs is in the manifest.
package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/strictjson"
	"cactuswall.example/cactuswall/internal/units"
)

// Settings are the static settings of one node.
type Settings struct {
	// Node is the name of this node, unique in the deployment.
	Node string `json:"node" validate:"required,max=100,excludesall= /"`
	// FailureDomain is the failure domain of the node's VM.
	FailureDomain string `json:"failure_domain" validate:"required,max=100,excludesall= /"`
	// CallerAddress is the listen address for requests of callers.
	CallerAddress string `json:"caller_address" validate:"ipport"`
	// OperatorAddress is the listen address for operators: status, metrics and health.
	OperatorAddress string `json:"operator_address" validate:"ipport"`
	// PeerAddress is the listen address for other nodes.
	PeerAddress string `json:"peer_address" validate:"ipport"`
	// PeerKey is the shared key with which the nodes of the deployment authenticate each other.
	PeerKey string `json:"peer_key" validate:"min=16"`
	// Seeds are peer addresses of other nodes, used until the platform's VM list has been read.
	Seeds []string `json:"seeds" validate:"dive,ipport"`
	// PlatformAddress is the address of the platform's log and VM list.
	PlatformAddress string `json:"platform_address" validate:"ipport"`
	// Scheduling holds the settings of the scheduler.
	Scheduling Scheduling `json:"scheduling"`
	// Membership holds the periods and timeouts of the membership protocol.
	Membership Membership `json:"membership"`
	// Log holds the settings for the platform's log.
	Log Log `json:"log"`
	// Callers holds the limits for requests of callers.
	Callers Callers `json:"callers"`
	// Stop holds the timeouts of a graceful shutdown.
	Stop Stop `json:"stop"`
}

// The values of Scheduling.Weighing.
const (
	Latency    = "latency"
	Throughput = "throughput"
)

// Scheduling holds the settings of the scheduler.
type Scheduling struct {
	// Tick is the interval between two runs of the scheduler.
	Tick units.Duration `json:"tick" validate:"gt=0"`
	// ClaimLease is how long a node's claim of a shard stays valid without a renewal in the log. A shard is a
	// set of workers and tasks that one node owns.
	ClaimLease units.Duration `json:"claim_lease" validate:"gt=0"`
	// TaskLease is how long a task keeps running on a worker without a renewal.
	TaskLease units.Duration `json:"task_lease" validate:"gt=0"`
	// Weighing is the optimization goal: "latency" of services or "throughput" of batch tasks.
	Weighing string `json:"weighing" validate:"oneof=latency throughput"`
	// DomainLossAfter is the time without a live node in a failure domain after which the waiting tasks of
	// jobs with on_domain_loss "run_elsewhere" are moved to other failure domains.
	DomainLossAfter units.Duration `json:"domain_loss_after" validate:"gt=0"`
	// WorkerCallTimeout is the timeout of one call to a worker.
	WorkerCallTimeout units.Duration `json:"worker_call_timeout" validate:"gt=0"`
}

// Membership holds the periods and timeouts of the membership protocol.
type Membership struct {
	// ExchangePeriod is the interval between two exchanges with a peer.
	ExchangePeriod units.Duration `json:"exchange_period" validate:"gt=0"`
	// ListPeriod is the interval at which the platform's VM list is read.
	ListPeriod units.Duration `json:"list_period" validate:"gt=0"`
	// SuspectAfter is the time without a heartbeat after which a peer is suspected.
	SuspectAfter units.Duration `json:"suspect_after" validate:"gt=0"`
	// DeadAfter is the time without a heartbeat after which a peer is considered dead.
	DeadAfter units.Duration `json:"dead_after" validate:"gt=0"`
}

// Log holds the settings for the platform's log.
type Log struct {
	// SnapshotPeriod is the interval between two snapshots in a stream. It should be at most a third of the
	// log's retention, so that the log always holds a snapshot that covers the entries it has removed.
	SnapshotPeriod units.Duration `json:"snapshot_period" validate:"gt=0"`
}

// Callers holds the limits for requests of callers.
type Callers struct {
	// MaxRequests is the maximum number of requests in flight and queued, not counting listeners,
	// which are requests whose response is a long-lived event stream.
	MaxRequests int `json:"max_requests" validate:"gt=0"`
	// MaxListeners is the maximum number of open listeners.
	MaxListeners int `json:"max_listeners" validate:"gt=0"`
	// MaxConnections is the maximum number of open connections of callers, listeners included.
	MaxConnections int `json:"max_connections" validate:"gte=16"`
	// MaxHeaderBytes is the maximum size of a request header.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gt=0"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gt=0"`
	// MaxBufferedBytes is the maximum total size of the bodies held in memory.
	MaxBufferedBytes int64 `json:"max_buffered_bytes" validate:"gt=0"`
	// ReadTimeout is the timeout for reading a request from a slow caller.
	ReadTimeout units.Duration `json:"read_timeout" validate:"gt=0"`
	// WriteTimeout is the timeout of one write to a caller that reads slowly.
	WriteTimeout units.Duration `json:"write_timeout" validate:"gt=0"`
	// CallerHeader is the request header in which the load balancer names the caller, for rate limits. If
	// it is empty, the caller is identified by the source IP address of the connection.
	CallerHeader string `json:"caller_header"`
	// MaxTrackedCallers is the maximum number of callers whose request rate is tracked.
	MaxTrackedCallers int `json:"max_tracked_callers" validate:"gt=0"`
	// ListenerHeartbeat is the idle time after which a comment is sent to a listener.
	ListenerHeartbeat units.Duration `json:"listener_heartbeat" validate:"gt=0"`
	// MaxKeys is the maximum number of idempotency keys that a node stores.
	MaxKeys int `json:"max_keys" validate:"gt=0"`
	// KeyLifetime is how long an idempotency key is stored. It must be shorter than the log's retention.
	KeyLifetime units.Duration `json:"key_lifetime" validate:"gt=0"`
}

// Stop holds the timeouts of a graceful shutdown.
type Stop struct {
	// BalancerDelay is the time from when /readyz starts to fail until new requests are refused.
	BalancerDelay units.Duration `json:"balancer_delay" validate:"gt=0"`
	// DrainTimeout is the maximum time to wait for requests in flight.
	DrainTimeout units.Duration `json:"drain_timeout" validate:"gt=0"`
}

// minTicksPerClaimLease is the minimum of Scheduling.ClaimLease, as a multiple of Scheduling.Tick.
const minTicksPerClaimLease = 10

// Default returns settings in which every optional field has its default value.
func Default() Settings {
	return Settings{
		Scheduling: Scheduling{
			Tick:              units.Duration(100 * time.Millisecond),
			ClaimLease:        units.Duration(6 * time.Second),
			TaskLease:         units.Duration(15 * time.Second),
			Weighing:          Latency,
			DomainLossAfter:   units.Duration(5 * time.Minute),
			WorkerCallTimeout: units.Duration(2 * time.Second),
		},
		Membership: Membership{
			ExchangePeriod: units.Duration(time.Second),
			ListPeriod:     units.Duration(2 * time.Second),
			SuspectAfter:   units.Duration(3 * time.Second),
			DeadAfter:      units.Duration(6 * time.Second),
		},
		Log: Log{
			SnapshotPeriod: units.Duration(30 * time.Minute),
		},
		Callers: Callers{
			MaxRequests:       4096,
			MaxListeners:      4096,
			MaxConnections:    16384,
			MaxHeaderBytes:    32 << 10,
			MaxBodyBytes:      4 << 20,
			MaxBufferedBytes:  64 << 20,
			ReadTimeout:       units.Duration(10 * time.Second),
			WriteTimeout:      units.Duration(10 * time.Second),
			MaxTrackedCallers: 16384,
			ListenerHeartbeat: units.Duration(15 * time.Second),
			MaxKeys:           100000,
			KeyLifetime:       units.Duration(10 * time.Minute),
		},
		Stop: Stop{
			BalancerDelay: units.Duration(3 * time.Second),
			DrainTimeout:  units.Duration(30 * time.Second),
		},
	}
}

// Parse decodes and validates settings from JSON with comments. The error is of type strictjson.Problems.
func Parse(data []byte) (Settings, error) {
	s := Default()
	problems := strictjson.Decode(data, &s)
	problems = append(problems, s.crossCheck(problems)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// crossCheck validates fields against each other. It skips the fields that found already reports.
func (s Settings) crossCheck(found strictjson.Problems) strictjson.Problems {
	var problems strictjson.Problems
	add := func(path, other, message string) {
		if !found.Has(path) && !found.Has(other) {
			problems.Add(path, "%s", message)
		}
	}
	if s.Membership.DeadAfter <= s.Membership.SuspectAfter {
		add("membership.dead_after", "membership.suspect_after", "must be longer than membership.suspect_after")
	}
	if s.Scheduling.ClaimLease.Std() < minTicksPerClaimLease*s.Scheduling.Tick.Std() {
		add("scheduling.claim_lease", "scheduling.tick", "must be at least ten times scheduling.tick")
	}
	if s.OperatorAddress == s.CallerAddress {
		add("operator_address", "caller_address", "is the same as caller_address")
	}
	if s.PeerAddress == s.CallerAddress {
		add("peer_address", "caller_address", "is the same as caller_address")
	}
	if s.PeerAddress == s.OperatorAddress {
		add("peer_address", "operator_address", "is the same as operator_address")
	}
	return problems
}

// Load reads and validates the settings file at path. The error is of type strictjson.Problems if the
// content is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(data)
}
