package node

import (
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/record"
)

const (
	// manifestSnapshotKey is the rendezvous-hashing key that selects the node that writes manifest snapshots.
	manifestSnapshotKey = "manifest-snapshot"
	// domainSnapshotShard is the shard whose owner writes snapshots of the domain stream.
	domainSnapshotShard = 0
	// forgetInterval is the time between two searches for tasks that can be removed from the ledger.
	forgetInterval = 5 * time.Second
	// maxTasksPerForget is the maximum number of tasks in one forget record.
	maxTasksPerForget = 512
)

// writeSnapshots writes snapshots of the domain and manifest streams, so that their state survives when the
// log's retention removes old entries.
func (e *engine) writeSnapshots(now time.Time) {
	if e.domainSnapshotAt.IsZero() {
		e.domainSnapshotAt, e.manifestSnapshotAt, e.lastCleanupAt = now, now, now
	}
	if !e.domainStateComplete() || e.stopping {
		return
	}
	period := e.settings.Log.SnapshotPeriod.Std()
	if now.Sub(e.domainSnapshotAt) >= period {
		e.writeDomainSnapshot(now)
	}
	if now.Sub(e.manifestSnapshotAt) >= period {
		e.writeManifestSnapshot(now)
	}
	if now.Sub(e.lastCleanupAt) >= forgetInterval {
		e.forgetTasks(now)
	}
}

func (e *engine) writeDomainSnapshot(now time.Time) {
	if _, held := e.owner.Authority(domainSnapshotShard, now); !held {
		return
	}
	state, err := e.ledger.Snapshot()
	if err != nil {
		return
	}
	body := &record.DomainSnapshot{At: uint64(e.domainReplay.Applied()), State: state}
	r := &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
	if proto.Size(r) > record.MaxBatchBytes/2 {
		e.metrics.countSnapshot("domain", "too_large")
		e.domainSnapshotAt = now
		return
	}
	if e.domainWriter.Enqueue(r) {
		e.domainSnapshotAt = now
	}
}

func (e *engine) writeManifestSnapshot(now time.Time) {
	var live []string
	for _, m := range e.members.All() {
		if e.members.StateOf(m.Node, now) == membership.Live {
			live = append(live, m.Node)
		}
	}
	if !e.manifestUpToDate() || failuredomain.Rendezvous(manifestSnapshotKey, live) != e.self.Node {
		return
	}
	body := e.activeManifest.Snapshot(e.manifestReplay.Applied())
	if e.manifestWriter.Enqueue(&record.Record{Body: &record.Record_ManifestSnapshot{ManifestSnapshot: body}}) {
		e.manifestSnapshotAt = now
	}
}

// manifestUpToDate reports whether the active manifest is the result of the complete manifest stream.
func (e *engine) manifestUpToDate() bool {
	return e.activeManifest != nil && e.activeManifest == e.config.Active() && e.manifestReplay.Complete()
}

// manifestRead reports whether this process has read the whole manifest stream, so that a task that it does not know is not one of a
// manifest that it has yet to read.
func (e *engine) manifestRead() bool { return e.manifestCaughtUp && e.manifestReplay.Complete() }

// forgetTasks writes records to forget the tasks of this node's shards that have no open attempt and that the
// active manifest no longer contains.
func (e *engine) forgetTasks(now time.Time) {
	e.lastCleanupAt = now
	if !e.manifestUpToDate() {
		return
	}
	var tasksByShard [failuredomain.ShardsPerDomain][]string
	e.ledger.TasksWithoutOpenAttempt(func(id string) {
		if shard := e.ledger.ShardOf(id); !e.inManifest(id) && len(tasksByShard[shard]) < maxTasksPerForget {
			tasksByShard[shard] = append(tasksByShard[shard], id)
		}
	})
	for shard, tasks := range tasksByShard {
		if _, held := e.owner.Authority(uint32(shard), now); !held || len(tasks) == 0 {
			continue
		}
		body := &record.Forget{By: e.owner.Token(uint32(shard)), Tasks: tasks}
		e.domainWriter.Enqueue(&record.Record{Body: &record.Record_Forget{Forget: body}})
	}
}

// inManifest reports whether the active manifest contains a task, in this failure domain or in another. The ID
// of a batch task has the form <job>@<version>/<number>.
func (e *engine) inManifest(id string) bool {
	if e.taskTable.Get(id) != nil {
		return true
	}
	job, rest, isJob := strings.Cut(id, "@")
	if !isJob {
		return false
	}
	version, _, _ := strings.Cut(rest, "/")
	origin, known := e.activeManifest.Origins[job]
	return known && strconv.FormatUint(origin.Version, 10) == version
}
