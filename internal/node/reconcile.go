package node

import (
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/platform"
)

// recheckInterval is the longest time for which a waiting group is skipped because no table has changed, and for which an open attempt
// may be without a reservation. The generation of the worker table tells nothing of workers of other nodes that may be used again.
const recheckInterval = 2 * time.Second

// reconcile derives from the ledger again what the tables otherwise keep by events.
func (e *engine) reconcile(now time.Time) {
	if now.Sub(e.recheckedAt) < recheckInterval {
		return
	}
	e.recheckedAt = now
	e.taskTable.ResetAllChecked()
	e.ledger.Attempts(e.restoreReservation)
}

// restoreReservation reserves the size of an open attempt whose reservation is missing. The attempts that a report lacks are found by
// their reservations.
func (e *engine) restoreReservation(a *ledger.Attempt) {
	w := e.workerTable.Get(a.Worker)
	if !a.Open || w == nil {
		return
	}
	if _, reserved := w.Reservation(platform.RunID{Task: a.Task, Attempt: a.Number}); reserved {
		return
	}
	e.reserveOpen(a)
	e.metrics.count("cactuswall_state_corrections_total", "kind", "reservation")
	e.logger.Warn("missing reservation of an open attempt restored", zap.String("task", a.Task), zap.Uint32("attempt", a.Number),
		zap.String("worker", a.Worker))
}
