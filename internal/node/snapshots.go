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
	// manifestSnapshotKey is the rendezvous key of the node that writes snapshots of the manifest.
	manifestSnapshotKey = "manifest-snapshot"
	// domainSnapshotShard is the shard whose owner writes snapshots of the domain stream.
	domainSnapshotShard = 0
	// forgetPeriod is the time between two searches for tasks that may be forgotten.
	forgetPeriod = 5 * time.Second
	// maxForgetTasks bounds the tasks of one forget record.
	maxForgetTasks = 512
)

// writeSnapshots repeats the states of the streams before retention drops what they stand for.
func (e *engine) writeSnapshots(now time.Time) {
	if e.domainSnapshotAt.IsZero() {
		e.domainSnapshotAt, e.manifestSnapshotAt, e.forgetAt = now, now, now
	}
	if !e.current() || e.stopping {
		return
	}
	period := e.settings.Log.SnapshotPeriod.Std()
	if now.Sub(e.domainSnapshotAt) >= period {
		e.writeDomainSnapshot(now)
	}
	if now.Sub(e.manifestSnapshotAt) >= period {
		e.writeManifestSnapshot(now)
	}
	if now.Sub(e.forgetAt) >= forgetPeriod {
		e.forgetTasks(now)
	}
}

func (e *engine) writeDomainSnapshot(now time.Time) {
	if _, held := e.owner.Holds(domainSnapshotShard, now); !held {
		return
	}
	state, err := e.ledger.Snapshot()
	if err != nil {
		return
	}
	body := &record.DomainSnapshot{At: uint64(e.domainReplay.Applied()), State: state}
	r := &record.Record{Body: &record.Record_DomainSnapshot{DomainSnapshot: body}}
	if proto.Size(r) > record.MaxBatchBytes/2 {
		e.metrics.countRestore("domain", "too_large")
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
	if !e.manifestSettled() || failuredomain.Rendezvous(manifestSnapshotKey, live) != e.self.Node {
		return
	}
	body := e.inForce.Snapshot(e.manifestReplay.Applied())
	if e.manifestWriter.Enqueue(&record.Record{Body: &record.Record_ManifestSnapshot{ManifestSnapshot: body}}) {
		e.manifestSnapshotAt = now
	}
}

// manifestSettled reports whether the manifest in force is the one that the whole stream leads to.
func (e *engine) manifestSettled() bool {
	return e.inForce != nil && e.inForce == e.config.InForce() && e.manifestReplay.Complete()
}

// forgetTasks writes which tasks of own shards no manifest names any more.
func (e *engine) forgetTasks(now time.Time) {
	e.forgetAt = now
	if !e.manifestSettled() {
		return
	}
	var lists [failuredomain.Shards][]string
	e.ledger.Closed(func(id string) {
		if shard := e.ledger.ShardOf(id); !e.named(id) && len(lists[shard]) < maxForgetTasks {
			lists[shard] = append(lists[shard], id)
		}
	})
	for shard, tasks := range lists {
		if _, held := e.owner.Holds(uint32(shard), now); !held || len(tasks) == 0 {
			continue
		}
		body := &record.Forget{By: e.owner.Token(uint32(shard)), Tasks: tasks}
		e.domainWriter.Enqueue(&record.Record{Body: &record.Record_Forget{Forget: body}})
	}
}

// named reports whether the manifest in force names a task, in this failure domain or in another.
func (e *engine) named(id string) bool {
	if e.taskRow.Get(id) != nil {
		return true
	}
	job, rest, isJob := strings.Cut(id, "@")
	if !isJob {
		return false
	}
	version, _, _ := strings.Cut(rest, "/")
	origin, known := e.inForce.Origins[job]
	return known && strconv.FormatUint(origin.Version, 10) == version
}
