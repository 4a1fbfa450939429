// Package settings reads and checks the static settings of one process.
//
// Settings give a process its addresses and its failure domain. They are read once at start; everything
// that changes while the process runs is in the manifest.
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
	// FailureDomain is the failure domain that the node's VM stands in.
	FailureDomain string `json:"failure_domain" validate:"required,max=100,excludesall= /"`
	// CallerAddress is where the node answers callers.
	CallerAddress string `json:"caller_address" validate:"ipport"`
	// OperatorAddress is where the node serves operators: status, metrics and health.
	OperatorAddress string `json:"operator_address" validate:"ipport"`
	// PeerAddress is where the node answers other nodes.
	PeerAddress string `json:"peer_address" validate:"ipport"`
	// PeerKey is the key that all nodes of the deployment share.
	PeerKey string `json:"peer_key" validate:"min=16"`
	// Seeds are peer addresses of other nodes, tried before the platform's list is known.
	Seeds []string `json:"seeds" validate:"dive,ipport"`
	// PlatformAddress is where the platform's log and VM list answer.
	PlatformAddress string `json:"platform_address" validate:"ipport"`
	// Scheduling holds periods of the scheduler.
	Scheduling Scheduling `json:"scheduling"`
	// Membership holds periods of the exchange between nodes.
	Membership Membership `json:"membership"`
	// Log holds periods of the use of the platform's log.
	Log Log `json:"log"`
	// Callers bounds what the node takes from callers.
	Callers Callers `json:"callers"`
	// Stop bounds the planned stop.
	Stop Stop `json:"stop"`
}

// The values of Scheduling.Weighing.
const (
	Latency    = "latency"
	Throughput = "throughput"
)

// Scheduling holds periods of the scheduler.
type Scheduling struct {
	// Tick is the period of the systems over the tables.
	Tick units.Duration `json:"tick" validate:"gt=0"`
	// ClaimLease is how long a claim of a shard holds without a renewal in the log.
	ClaimLease units.Duration `json:"claim_lease" validate:"gt=0"`
	// TaskLease is how long a task runs on a worker without a renewal.
	TaskLease units.Duration `json:"task_lease" validate:"gt=0"`
	// Weighing says what weighs most: "latency" of services or "throughput" of batch tasks.
	Weighing string `json:"weighing" validate:"oneof=latency throughput"`
	// DomainLossAfter is the silence of all nodes of a failure domain after which tasks that may run
	// elsewhere are moved out of it.
	DomainLossAfter units.Duration `json:"domain_loss_after" validate:"gt=0"`
	// WorkerCallTimeout bounds one call to a worker.
	WorkerCallTimeout units.Duration `json:"worker_call_timeout" validate:"gt=0"`
}

// Membership holds periods of the exchange between nodes.
type Membership struct {
	// ExchangePeriod is the time between two exchanges with a peer.
	ExchangePeriod units.Duration `json:"exchange_period" validate:"gt=0"`
	// ListPeriod is the time between two readings of the platform's VM list.
	ListPeriod units.Duration `json:"list_period" validate:"gt=0"`
	// SuspectAfter is the silence after which a peer is suspected.
	SuspectAfter units.Duration `json:"suspect_after" validate:"gt=0"`
	// DeadAfter is the silence after which a peer is taken for dead.
	DeadAfter units.Duration `json:"dead_after" validate:"gt=0"`
}

// Log holds periods of the use of the platform's log.
type Log struct {
	// SnapshotPeriod is the time between two snapshots in a stream. It is to be a third of the log's
	// retention at the most, so that a snapshot always outlives what it stands for.
	SnapshotPeriod units.Duration `json:"snapshot_period" validate:"gt=0"`
}

// Callers bounds what the node takes from callers.
type Callers struct {
	// MaxRequests bounds requests in flight and queued, listeners apart.
	MaxRequests int `json:"max_requests" validate:"gt=0"`
	// MaxListeners bounds open listeners.
	MaxListeners int `json:"max_listeners" validate:"gt=0"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes" validate:"gt=0"`
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"gt=0"`
	// MaxBufferedBytes bounds the bodies held in memory at once.
	MaxBufferedBytes int64 `json:"max_buffered_bytes" validate:"gt=0"`
	// ReadTimeout bounds the reading of a request from a slow caller.
	ReadTimeout units.Duration `json:"read_timeout" validate:"gt=0"`
	// WriteTimeout bounds one write to a caller that reads slowly.
	WriteTimeout units.Duration `json:"write_timeout" validate:"gt=0"`
	// CallerHeader is the request header by which the balancer names the caller, for rate limits. Empty:
	// the IP number that the connection comes from.
	CallerHeader string `json:"caller_header"`
	// MaxTrackedCallers bounds the callers whose rate is remembered.
	MaxTrackedCallers int `json:"max_tracked_callers" validate:"gt=0"`
	// ListenerHeartbeat is the silence after which a listener is sent a comment.
	ListenerHeartbeat units.Duration `json:"listener_heartbeat" validate:"gt=0"`
	// MaxKeys bounds the idempotency keys that a node remembers.
	MaxKeys int `json:"max_keys" validate:"gt=0"`
	// KeyLifetime is how long an idempotency key is remembered. It must be shorter than the log keeps records.
	KeyLifetime units.Duration `json:"key_lifetime" validate:"gt=0"`
}

// Stop bounds the planned stop.
type Stop struct {
	// BalancerDelay is the time between the failing of /readyz and the refusal of new requests.
	BalancerDelay units.Duration `json:"balancer_delay" validate:"gt=0"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout units.Duration `json:"drain_timeout" validate:"gt=0"`
}

// minTicksPerClaimLease is how many ticks a claim's lease must span at least.
const minTicksPerClaimLease = 10

// Default returns settings with a default for each optional field.
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

// Parse decodes and checks settings, JSON with comments. The error is of type strictjson.Problems.
func Parse(data []byte) (Settings, error) {
	s := Default()
	problems := strictjson.Decode(data, &s)
	problems = append(problems, s.crossCheck(problems)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// crossCheck reports fields that are valid alone but not together. Fields in found are passed over.
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

// Load reads the settings file at path. Faults of the content are of type strictjson.Problems.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(data)
}
