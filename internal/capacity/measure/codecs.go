package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/capacity"
	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/units"
)

// publicationID is a placeholder with the length of a real publication ID.
const publicationID = "00000000-0000-0000-0000-000000000000"

// timingRuns is the number of times a step is run to find its shortest duration.
const timingRuns = 25

// fitSeries measures value at each size and fits a line.
func fitSeries(name, unit, sizeUnit string, sizes []int, value func(size int) (float64, error)) (capacity.LinearFit, error) {
	samples := make([]capacity.Sample, len(sizes))
	for i, size := range sizes {
		v, err := value(size)
		if err != nil {
			return capacity.LinearFit{}, fmt.Errorf("%s at %d: %w", name, size, err)
		}
		samples[i] = capacity.Sample{Size: float64(size), Value: v}
	}
	return capacity.FitLine(name, unit, sizeUnit, samples), nil
}

// measureCodecs measures the sizes of encoded records, manifests and reports, and the time and memory that
// decoding and applying them takes.
func measureCodecs() ([]capacity.LinearFit, error) {
	tasks := []int{500, 1000, 2000, 4000}
	jobs := []int{500, 1000, 2000, 4000}
	var fits []capacity.LinearFit
	for _, s := range []struct {
		name, unit, sizeUnit string
		sizes                []int
		value                func(int) (float64, error)
	}{
		{"log: a start (placement and end)", "bytes", "task", tasks, taskRecordBytes},
		{"ledger: apply a placement and an end", "ms", "task", tasks, applyTime},
		{"ledger: memory", "bytes", "task", tasks, ledgerMemory},
		{"ledger: snapshot", "bytes", "task", tasks, snapshotBytes},
		{"manifest: JSON document", "bytes", "job", jobs, documentBytes},
		{"manifest: whole publication in the log", "bytes", "job", jobs, publicationBytes},
		{"manifest: publication of added jobs", "bytes", "added job", []int{1, 6, 12, 60}, addedJobsBytes},
		{"manifest: parse and check", "ms", "job", jobs, parseTime},
		{"manifest: memory", "bytes", "job", jobs, manifestMemory},
		{"VM list: JSON", "bytes", "VM", []int{100, 1000, 4000}, listBytes},
		{"VM list: JSON compressed", "bytes", "VM", []int{100, 1000, 4000}, compressedListBytes},
		{"worker report: JSON", "bytes", "run", []int{1, 4, 12, 24}, reportBytes},
	} {
		fit, err := fitSeries(s.name, s.unit, s.sizeUnit, s.sizes, s.value)
		if err != nil {
			return nil, err
		}
		fits = append(fits, fit)
	}
	return fits, nil
}

// taskRecords returns batches of log records: the claims of all shards, then a placement and an end for each
// of count tasks.
func taskRecords(count int) []*record.Batch {
	var claims []*record.Record
	for shard := range uint32(failuredomain.ShardsPerDomain) {
		claims = append(claims, &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{Shard: shard, LeaseMs: 6000}}})
	}
	// The fencing token of a claim is the log offset of its batch.
	const claimBatchOffset = 1
	batches := []*record.Batch{{Node: "de-1", Incarnation: 1, Sequence: 1, Records: claims}}
	var records []*record.Record
	for i := range count {
		id := fmt.Sprintf("rebuild-timetables-%04d@17/%d", i/16, i%16)
		worker := fmt.Sprintf("de-w%d", i%118)
		from := &record.ShardToken{Shard: failuredomain.ShardOf(id), Token: claimBatchOffset}
		to := &record.ShardToken{Shard: failuredomain.ShardOf(worker), Token: claimBatchOffset}
		placement := &record.Placement{Task: id, Attempt: 1, Worker: worker, From: from, To: to}
		end := &record.End{Task: id, Attempt: 1, By: to, Outcome: record.Outcome_OUTCOME_FINISHED, Reason: "finished"}
		records = append(records,
			&record.Record{Body: &record.Record_Placement{Placement: placement}},
			&record.Record{Body: &record.Record_End{End: end}})
	}
	const perBatch = 64
	for sequence := uint64(2); len(records) > 0; sequence++ {
		n := min(perBatch, len(records))
		batches = append(batches, &record.Batch{Node: "de-1", Incarnation: 1, Sequence: sequence, Records: records[:n]})
		records = records[n:]
	}
	return batches
}

// taskRecordBytes returns the total encoded size, in bytes, of the batches that taskRecords returns for count
// tasks, claims included.
func taskRecordBytes(count int) (float64, error) {
	total := 0
	for _, b := range taskRecords(count) {
		data, err := record.Encode(b)
		if err != nil {
			return 0, err
		}
		total += len(data)
	}
	return float64(total), nil
}

// replay applies batches to a new ledger, at log offsets starting at 1, and returns the ledger. It fails if the
// ledger rejects a record.
func replay(batches []*record.Batch) (*ledger.Ledger, error) {
	l := ledger.New()
	for i, b := range batches {
		for _, r := range l.Apply(platform.Offset(i+1), b, time.Now()) {
			if r.Rejection != ledger.Accepted {
				return nil, fmt.Errorf("the ledger rejected a generated record: %s", r.Rejection)
			}
		}
	}
	return l, nil
}

// applyTime returns the time, in milliseconds, to apply the records of count tasks to a new ledger.
func applyTime(count int) (float64, error) {
	batches := taskRecords(count)
	return shortestRun(func() error {
		_, err := replay(batches)
		return err
	})
}

// ledgerMemory returns the bytes of heap that a ledger with count tasks keeps alive.
func ledgerMemory(count int) (float64, error) {
	return retainedHeapBytes(func() (any, error) { return replay(taskRecords(count)) })
}

// snapshotBytes returns the size, in bytes, of a snapshot of a ledger with count tasks.
func snapshotBytes(count int) (float64, error) {
	l, err := replay(taskRecords(count))
	if err != nil {
		return 0, err
	}
	data, err := l.Snapshot()
	return float64(len(data)), err
}

// testManifest returns a manifest with the given number of jobs, spread over 380 teams.
func testManifest(jobs int) *manifest.Manifest {
	const teams = 380
	m := &manifest.Manifest{Release: "measure"}
	for i := range 11 {
		m.FailureDomains = append(m.FailureDomains, manifest.FailureDomain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i/4)})
	}
	for i := range teams {
		quota := units.Resources{MilliProcessors: 64000, MemoryMiB: 200000}
		m.Teams = append(m.Teams, manifest.Team{Name: fmt.Sprintf("team-%d", i), Quota: quota})
	}
	for i := range jobs {
		m.Jobs = append(m.Jobs, manifest.Job{
			Name:         fmt.Sprintf("rebuild-timetables-%04d", i),
			Team:         fmt.Sprintf("team-%d", i%teams),
			Tasks:        1 + i%16,
			Size:         units.Resources{MilliProcessors: int64(500 + i%7*250), MemoryMiB: int64(1000 + i%11*500)},
			RunTime:      units.Duration(time.Duration(30+i%300) * time.Second),
			Deadline:     units.Duration(time.Duration(1+i%8) * time.Hour),
			Priority:     manifest.Batch,
			OnDomainLoss: manifest.RunElsewhere,
			Checkpoints:  i%2 == 0,
		})
	}
	return m
}

func documentBytes(jobs int) (float64, error) {
	data, err := testManifest(jobs).Encode()
	return float64(len(data)), err
}

// publicationBytes returns the encoded size, in bytes, of the first publication of a manifest.
func publicationBytes(jobs int) (float64, error) {
	p, err := config.NewPublication(testManifest(jobs), nil, 1, publicationID, time.Now())
	if err != nil {
		return 0, err
	}
	return float64(proto.Size(p)), nil
}

// addedJobsBytes returns the size, in bytes, of a publication that adds jobs to a manifest that already holds
// baseJobs jobs, the number of jobs of one day.
func addedJobsBytes(added int) (float64, error) {
	const baseJobs = 7900
	active := &config.ActiveManifest{Version: 1, Manifest: testManifest(baseJobs)}
	p, err := config.NewPublication(testManifest(baseJobs+added), active, 1, publicationID, time.Now())
	if err != nil {
		return 0, err
	}
	return float64(proto.Size(p)), nil
}

// parseTime returns the time, in milliseconds, to parse and check the JSON document of a manifest.
func parseTime(jobs int) (float64, error) {
	data, err := testManifest(jobs).Encode()
	if err != nil {
		return 0, err
	}
	return shortestRun(func() error {
		_, err := manifest.Parse(data)
		return err
	})
}

func manifestMemory(jobs int) (float64, error) {
	return retainedHeapBytes(func() (any, error) {
		data, err := testManifest(jobs).Encode()
		if err != nil {
			return nil, err
		}
		return manifest.Parse(data)
	})
}

func listBytes(count int) (float64, error) {
	data, err := encodedVMList(count)
	return float64(len(data)), err
}

func compressedListBytes(count int) (float64, error) {
	data, err := encodedVMList(count)
	if err != nil {
		return 0, err
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(data); err != nil {
		return 0, err
	}
	if err := writer.Close(); err != nil {
		return 0, err
	}
	return float64(compressed.Len()), nil
}

// encodedVMList returns a VM list of count endpoints, each with a different address, as JSON.
func encodedVMList(count int) ([]byte, error) {
	vms := make([]platform.VM, count)
	for i := range vms {
		vms[i] = platform.VM{
			ID: fmt.Sprintf("boards/domain-3/%d@1", i), Kind: platform.EndpointVM, State: platform.Live,
			FailureDomain: "domain-3", Rack: fmt.Sprintf("domain-3-rack%d", i%16), Address: fmt.Sprintf("10.13.%d.%d:7000", i/250, i%250),
			Service: "boards",
		}
	}
	return json.Marshal(vms)
}

func reportBytes(runs int) (float64, error) {
	r := platform.Report{Capacity: units.Resources{MilliProcessors: 64000, MemoryMiB: 250000}, Token: 123456}
	for i := range runs {
		r.Runs = append(r.Runs, platform.Run{
			ID: platform.RunID{Task: fmt.Sprintf("rebuild-timetables-%04d@17/%d", i, i), Attempt: 1}, State: platform.RunRunning,
			Size: units.Resources{MilliProcessors: 2000, MemoryMiB: 4000}, Usage: units.Resources{MilliProcessors: 1731, MemoryMiB: 3012},
			Progress: 0.3712, Checkpoint: "checkpoint-0.35", CheckpointProgress: 0.35, Throttle: 1,
		})
	}
	data, err := json.Marshal(r)
	return float64(len(data)), err
}

// shortestRun runs step several times and returns the shortest duration in milliseconds.
func shortestRun(step func() error) (float64, error) {
	var best time.Duration
	for i := range timingRuns {
		start := time.Now()
		if err := step(); err != nil {
			return 0, err
		}
		if took := time.Since(start); i == 0 || took < best {
			best = took
		}
	}
	return float64(best.Microseconds()) / 1000, nil
}

// retainedHeapBytes returns the bytes of heap that the result of build keeps alive.
func retainedHeapBytes(build func() (any, error)) (float64, error) {
	before := heapAllocBytes()
	kept, err := build()
	after := heapAllocBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), err
}

// heapAllocBytes returns the bytes of heap in use after garbage collection. It collects twice, because objects in
// a sync.Pool are freed only by the second collection.
func heapAllocBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
