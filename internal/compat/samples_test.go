package compat

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/examples"
	"cactuswall.example/cactuswall/internal/cellrpc"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/jobs"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/recordcodec"
)

// sample is one stored or sent value. write returns its encoding; rewrite decodes data and encodes it again.
type sample struct {
	file    string
	write   func() ([]byte, error)
	rewrite func(data []byte) ([]byte, error)
}

var samples = []sample{
	packedSample("job", jobrecord.Job{
		Queue: "refresh", Service: "boards", Priority: 7, MaxAttempts: 3, CriticalPathFactor: 2.5, DeadlineSlackMS: 5200,
		ReceivedMS: 1796400000123, Spec: spec(),
	}),
	packedSample("group", jobrecord.Group{
		NextRun: 4,
		Tasks: []jobrecord.Task{
			{Done: true, Failures: 1, LastRun: 2},
			{LastRun: 3, Checkpoint: "c-17", Runs: []jobrecord.Run{{Number: 3, Worker: "w-2", WorkerStartedAtMS: 1796400000000}}},
		},
	}),
	packedSample("occurrences", jobrecord.Occurrences{Ended: []jobrecord.OccurrenceRange{{From: 0, To: 7}, {From: 9, To: 70_000}}}),
	packedSample("outcome", jobrecord.Outcome{State: jobs.Failed, AtMS: 1796400009999}),
	packedSample("claim", claim.Record{Holder: "n1-4711", Node: "n1", Address: "10.0.0.1:7000", Epoch: 12, Released: true}),
	packedSample("pressures", cpuinterference.Snapshot{
		LowestTailMS: map[string]float64{"board-data": 41.5},
		Pairs:        []cpuinterference.Pair{{ServiceImage: "board-data", BestEffortImage: "rebuild", Mean: 0.37, Deviation: 0.11}},
	}),
	{"batch.pb", func() ([]byte, error) { return record.Encode(batch()) }, rewriteBatch},
	{"ledger.zst", writeLedger, rewriteLedger},
	{"manifest.json", writeManifest, rewriteManifest},
	messageSample("manifest-snapshot.pb", manifestSnapshot),
	messageSample("peer-view.pb", func() *peer.View {
		return &peer.View{
			From: "a", LeavingEndpoints: []string{"boards/a/1@1"}, Wanted: []string{"b"},
			Members: []*peer.Member{{Node: "b", Incarnation: 3, FailureDomain: "de", Address: "10.0.0.2:7001", Heartbeat: 99,
				Leaving: true, ManifestVersion: 5, Division: 6, DomainDivision: 7, OperatorAddress: "10.0.0.2:7002"}},
		}
	}),
	messageSample("peer-promise.pb", func() *peer.PromiseRequest {
		return &peer.PromiseRequest{Node: "a", Incarnation: 2, FailureDomain: "de", Shards: []uint32{1, 4}, Tokens: []uint64{8, 9}, ForMs: 15000}
	}),
	messageSample("peer-key.pb", func() *peer.BeginKeyRequest {
		return &peer.BeginKeyRequest{Key: []byte{1, 2, 3}, Attempt: &peer.KeyAttempt{Node: "a", Incarnation: 2, Number: 7}, WaitMs: 250}
	}),
	messageSample("cell-status.pb", func() *cellrpc.StatusReply {
		return &cellrpc.StatusReply{Owner: true, Known: true, State: int32(jobs.Completed), Epoch: 12}
	}),
	messageSample("cell-accept.pb", func() *cellrpc.AcceptRequest {
		return &cellrpc.AcceptRequest{Key: jobrecord.JobKey("j-1", "n1", 0), Value: []byte("record")}
	}),
}

func spec() jobs.Spec {
	return jobs.Spec{
		Payload: "stop/1234", OccurrenceCount: 3, StartAt: time.UnixMilli(1796400060000), Interval: time.Minute,
		Steps: []jobs.Step{
			{Count: 2, Request: jobs.Resources{MilliCPU: 1500, MemoryMB: 2048, GPU: 1}, Estimate: 8 * time.Second, Checkpoints: true,
				Gang: true, RackSensitive: true, RequiredLabel: "ssd", DataRack: "r3", MaxPerWorker: 1, Speculative: true},
			{Count: 1, DependsOn: []int{0}, LongRunning: true, Image: "board-data", TargetTailLatency: 50 * time.Millisecond, BestEffort: true,
				MaxUnavailable: 1, HasMaxUnavailable: true},
		},
	}
}

// packedSample is a sample of a record of the store.
func packedSample[T any](name string, value T) sample {
	return sample{
		file:  name + ".msgpack",
		write: func() ([]byte, error) { return recordcodec.Encode(&value) },
		rewrite: func(data []byte) ([]byte, error) {
			var decoded T
			if err := recordcodec.Decode(data, &decoded); err != nil {
				return nil, err
			}
			return recordcodec.Encode(&decoded)
		},
	}
}

// messageSample is a sample of a message of protocol buffers.
func messageSample[T proto.Message](file string, value func() T) sample {
	options := proto.MarshalOptions{Deterministic: true}
	return sample{
		file:  file,
		write: func() ([]byte, error) { return options.Marshal(value()) },
		rewrite: func(data []byte) ([]byte, error) {
			decoded := value().ProtoReflect().New().Interface()
			if err := proto.Unmarshal(data, decoded); err != nil {
				return nil, err
			}
			return options.Marshal(decoded)
		},
	}
}

func placed(task string, shard uint32) *record.Record {
	token := &record.ShardToken{Shard: shard, Token: 1}
	body := &record.Placement{Task: task, Attempt: 1, Worker: "de-w1", From: token, To: token}
	return &record.Record{Body: &record.Record_Placement{Placement: body}}
}

// batch claims a shard, places two tasks and ends one of them.
func batch() *record.Batch {
	shard := failuredomain.ShardOf("rebuild/0")
	ended := &record.End{Task: "rebuild/0", Attempt: 1, By: &record.ShardToken{Shard: shard, Token: 1},
		Outcome: record.Outcome_OUTCOME_EVICTED, Checkpoint: "c-5", ProgressPermille: 350, Reason: "urgent"}
	return &record.Batch{Node: "a", Incarnation: 1, Sequence: 1, Records: []*record.Record{
		{Body: &record.Record_Claim{Claim: &record.Claim{Shard: shard, LeaseMs: 6000}}},
		placed("rebuild/0", shard),
		{Body: &record.Record_End{End: ended}},
		{Body: &record.Record_KeyBegin{KeyBegin: &record.KeyBegin{Key: []byte{9}, Attempt: &record.KeyAttempt{Node: "a", Incarnation: 1, Number: 2}}}},
	}}
}

func rewriteBatch(data []byte) ([]byte, error) {
	decoded, err := record.Decode(data)
	if err != nil {
		return nil, err
	}
	return record.Encode(decoded)
}

func writeLedger() ([]byte, error) {
	l := ledger.New()
	for i, result := range l.Apply(1, batch(), time.Time{})[:3] {
		if result.Rejection != ledger.Accepted {
			return nil, errors.New("record " + string(rune('0'+i)) + " of the batch: " + string(result.Rejection))
		}
	}
	return l.Snapshot()
}

func rewriteLedger(data []byte) ([]byte, error) {
	l, err := ledger.Restore(data, time.Time{})
	if err != nil {
		return nil, err
	}
	return l.Snapshot()
}

func writeManifest() ([]byte, error) { return rewriteManifest(examples.ArwyddionManifest) }

func rewriteManifest(data []byte) ([]byte, error) {
	m, err := manifest.Parse(data)
	if err != nil {
		return nil, err
	}
	return m.Encode()
}

// manifestSnapshot returns the snapshot of the example manifest after its publication.
func manifestSnapshot() *record.ManifestSnapshot {
	m, err := manifest.Parse(examples.ArwyddionManifest)
	if err != nil {
		panic(err)
	}
	publication, err := config.NewPublication(m, nil, 0, "p-1", time.UnixMilli(1796400000000))
	if err != nil {
		panic(err)
	}
	var state config.State
	if rejection := state.ApplyPublication(3, publication); rejection != config.Accepted {
		panic(rejection)
	}
	return state.Active().Snapshot(5)
}
