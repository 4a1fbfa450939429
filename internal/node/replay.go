package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
	"cactuswall.example/cactuswall/internal/worker"
)

// domainStateComplete reports whether the node has read its whole domain stream without a gap, so that it may
// write to it.
func (e *engine) domainStateComplete() bool { return e.caughtUp && e.domainReplay.Complete() }

// handleDomainEntries applies entries of the domain stream. A call without entries means that the end of the
// stream has been reached.
func (e *engine) handleDomainEntries(deliveries []journal.Delivery, now time.Time) {
	e.logReadAt = now
	for _, d := range deliveries {
		e.applyKeyRecords(d, now)
		wasComplete := e.domainReplay.Complete()
		if d, applicable := e.domainReplay.Admit(d); applicable {
			e.applyDomainEntry(d, now)
			continue
		}
		if wasComplete && !e.domainReplay.Complete() {
			e.suspendClaims(d)
		}
		for _, r := range d.Batch.GetRecords() {
			if s := r.GetDomainSnapshot(); s != nil {
				e.restoreDomain(platform.Offset(s.GetAt()), s.GetState(), now)
			}
		}
	}
	if len(deliveries) == 0 {
		e.caughtUp = true
	}
}

func (e *engine) applyDomainEntry(d journal.Delivery, now time.Time) {
	if d.Batch == nil {
		return
	}
	sent, own := e.domainWriter.Confirm(d.Batch)
	results := e.ledger.Apply(d.Offset, d.Batch, now)
	e.owner.Observe(e.ledger, results, sent, own)
	for _, r := range results {
		if r.Record.GetDomainSnapshot() != nil {
			e.domainSnapshotAt = now
		}
		e.applyResult(r, now)
	}
}

// suspendClaims makes this node stop acting under any of its claims, because entries of the domain stream are
// missing or have a newer schema than this node can read.
func (e *engine) suspendClaims(d journal.Delivery) {
	e.owner.DropAll()
	e.logger.Warn("domain state is incomplete; the node writes nothing to the domain stream until a snapshot or a peer completes it",
		zap.Uint64("offset", uint64(d.Offset)), zap.Bool("newer_schema", d.NewerSchema))
}

// restoreDomain replaces the state of the domain stream with a snapshot, if the snapshot covers what is
// missing.
func (e *engine) restoreDomain(at platform.Offset, state []byte, now time.Time) {
	if !e.domainReplay.CompletedBy(at) {
		return
	}
	restored, err := ledger.Restore(state, now)
	if err != nil {
		e.metrics.countSnapshot("domain", "unreadable")
		return
	}
	e.metrics.countSnapshot("domain", "done")
	e.logger.Info("domain state restored", zap.Uint64("offset", uint64(at)))
	e.setLedger(restored, now)
	for _, d := range e.domainReplay.SnapshotRestored(at) {
		e.applyDomainEntry(d, now)
	}
}

// setLedger replaces the ledger and rebuilds the worker and task tables from it.
func (e *engine) setLedger(l *ledger.Ledger, now time.Time) {
	e.ledger = l
	e.ledgerReplacedAt = now
	e.resendAbsenceEnds()
	e.owner.DropAll()
	e.domainWriter.ConfirmUpTo(l.SequenceOf(e.self))
	e.workerTable = worker.NewTable()
	e.taskTable = task.NewTable()
	if e.activeManifest != nil {
		e.syncTasks(now)
	}
	if !e.listReadAt.IsZero() {
		e.applyVMList(e.vms, now)
	}
}

// handleManifestEntries applies entries of the manifest stream. A call without entries means that the end of
// the stream has been reached. Before that it activates no manifest, because the versions before the end
// have already been replaced.
func (e *engine) handleManifestEntries(deliveries []journal.Delivery, now time.Time) {
	if len(deliveries) == 0 {
		e.manifestCaughtUp = true
	}
	for _, d := range deliveries {
		wasComplete := e.manifestReplay.Complete()
		if d, applicable := e.manifestReplay.Admit(d); applicable {
			e.applyManifestEntry(d, now)
			continue
		}
		if wasComplete && !e.manifestReplay.Complete() {
			e.logger.Warn("manifest state is incomplete; no publication is accepted until a snapshot or a peer completes it",
				zap.Uint64("offset", uint64(d.Offset)), zap.Bool("newer_schema", d.NewerSchema))
		}
		for _, r := range d.Batch.GetRecords() {
			if s := r.GetManifestSnapshot(); s != nil {
				e.restoreManifest(s, now)
			}
		}
	}
	if e.manifestCaughtUp {
		e.manifestChanged(now)
	}
}

func (e *engine) applyManifestEntry(d journal.Delivery, now time.Time) {
	if d.Batch == nil {
		return
	}
	e.manifestWriter.Confirm(d.Batch)
	for _, r := range d.Batch.GetRecords() {
		if p := r.GetPublication(); p != nil {
			rejection := e.config.ApplyPublication(d.Offset, p)
			e.metrics.countPublication(rejection)
			e.notifyPublisher(p.GetPublicationId(), publicationResult{rejection: rejection, version: e.config.Version()})
		}
		if s := r.GetManifestSnapshot(); s != nil {
			e.manifestSnapshotAt = now
			e.config.ApplySnapshot(s)
		}
	}
}

// restoreManifest applies a manifest snapshot from the log or from a peer. It takes the manifest if that is
// newer, and the offset in the stream if the snapshot covers what is missing.
func (e *engine) restoreManifest(s *record.ManifestSnapshot, now time.Time) {
	if e.config.ApplySnapshot(s) == config.Malformed {
		e.metrics.countSnapshot("manifest", "unreadable")
		return
	}
	readTo := platform.Offset(s.GetReadTo())
	if config.Version(s.GetVersion()) == e.config.Version() && e.manifestReplay.CompletedBy(readTo) {
		e.metrics.countSnapshot("manifest", "done")
		for _, d := range e.manifestReplay.SnapshotRestored(readTo) {
			e.applyManifestEntry(d, now)
		}
	}
}
