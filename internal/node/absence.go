package node

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/worker"
)

// absenceDelay is how long a worker must be absent from the VM list and silent before its absence is declared.
const absenceDelay = 2 * reportPeriod

// declaredAbsence is a declaration of this node that it extends no lease on a worker.
type declaredAbsence struct {
	// token is the token of the claim under which it was declared.
	token platform.Offset
	// leasesEnd is when all leases on the worker have ended.
	leasesEnd time.Time
	// endSent is set once the end of the absence was sent to the log.
	endSent bool
}

// declareAbsences declares the absence of each silent worker with open attempts in the shards that this node holds, so that the next
// owner knows when the leases there end. Until the worker answers and the end of its absence is read back, this node extends no lease on
// it.
func (e *engine) declareAbsences(now time.Time) {
	for _, w := range e.workerTable.All() {
		if w.UnlistedSince.IsZero() || e.isDeclaredAbsent(w) {
			continue
		}
		token, held := e.owner.Authority(w.Shard, now)
		mayAnswer := w.Address != "" && now.Sub(latest(w.UnlistedSince, w.ReportedAt)) < absenceDelay
		if !held || mayAnswer || !e.hasOpenAttempt(w) {
			continue
		}
		leasesEnd := e.goneAt(w)
		body := &record.WorkerAbsence{
			By:          e.owner.Token(w.Shard),
			Worker:      w.ID,
			LeasesEndMs: uint64(max(0, leasesEnd.Sub(now)+time.Millisecond).Milliseconds()),
		}
		if e.domainWriter.Enqueue(&record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: body}}) {
			e.declaredAbsences[w.ID] = &declaredAbsence{token: token, leasesEnd: leasesEnd}
		}
	}
}

// isDeclaredAbsent reports whether this node may extend no lease on a worker, because it has declared the worker absent under the newest
// claim of its shard.
func (e *engine) isDeclaredAbsent(w *worker.Worker) bool {
	d := e.declaredAbsences[w.ID]
	return d != nil && d.token >= e.ledger.Claim(w.Shard).Token
}

// endAbsence tells the log that a worker which was declared absent has answered.
func (e *engine) endAbsence(w *worker.Worker) {
	if d := e.declaredAbsences[w.ID]; d != nil && !d.endSent && e.isDeclaredAbsent(w) {
		by := &record.ShardToken{Shard: w.Shard, Token: uint64(d.token)}
		body := &record.WorkerAbsence{By: by, Worker: w.ID, Over: true}
		d.endSent = e.domainWriter.Enqueue(&record.Record{Body: &record.Record_WorkerAbsence{WorkerAbsence: body}})
	}
}

// applyAbsence lets this node extend leases on a worker again once the end of its absence has been accepted.
func (e *engine) applyAbsence(r ledger.Result, a *record.WorkerAbsence) {
	d := e.declaredAbsences[a.GetWorker()]
	if d != nil && a.GetOver() && r.Rejection == ledger.Accepted && r.Writer == e.self && uint64(d.token) == a.GetBy().GetToken() {
		delete(e.declaredAbsences, a.GetWorker())
		if w := e.workerTable.Get(a.GetWorker()); w != nil {
			w.ReportNow = true
		}
	}
}

// pruneAbsences drops the declarations under claims of a shard that are not the newest any more.
func (e *engine) pruneAbsences(shard uint32) {
	for id, d := range e.declaredAbsences {
		if failuredomain.ShardOf(id) == shard && d.token < e.ledger.Claim(shard).Token {
			delete(e.declaredAbsences, id)
		}
	}
}

// resendAbsenceEnds lets endAbsence send the ends again whose results the log's state in a snapshot does not tell.
func (e *engine) resendAbsenceEnds() {
	for _, d := range e.declaredAbsences {
		d.endSent = false
	}
}

// formerLeasesEnd returns when the leases have ended that earlier owners have extended on a worker on which this owner has extended none,
// or false if that is not known.
func (e *engine) formerLeasesEnd(w *worker.Worker) (time.Time, bool) {
	claimed := e.owner.ClaimSentAt(w.Shard)
	if !w.ReportedAt.Before(claimed) || !e.ledgerReplacedAt.Before(claimed) {
		return time.Time{}, false
	}
	if d := e.declaredAbsences[w.ID]; d != nil && e.isDeclaredAbsent(w) {
		return d.leasesEnd, true
	}
	a, declared := e.ledger.Absence(w.ID)
	if !declared || w.Token != 0 || a.Token >= e.ledger.Claim(w.Shard).Token || !e.owner.HasNewestClaim(e.ledger, w.Shard) {
		return time.Time{}, false
	}
	return a.LeasesEnd(), true
}

// hasOpenAttempt reports whether the ledger has an open attempt on a worker.
func (e *engine) hasOpenAttempt(w *worker.Worker) bool {
	for _, id := range w.RunIDs() {
		if a := e.openAttempt(id.Task); a != nil && a.Number == id.Attempt && a.Worker == w.ID {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
