package node

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// checkIncarnation keeps the incarnation of this process higher than that of every earlier process of the
// same node. Incarnations are start times, so a clock that moved back would otherwise produce a lower one.
// Before it first writes to its domain stream, the process may raise its incarnation. After that, a higher
// incarnation means that another process has replaced this one, and this one exits. checkIncarnation also
// calls pruneLapsedTasks.
func (e *engine) checkIncarnation() {
	logged, reported := e.ledger.HighestIncarnation(e.self.Node), e.members.MaxOwnIncarnation()
	highest := max(logged, reported)
	switch {
	case e.mayWriteDomain && highest > e.self.Incarnation:
		e.replacedErr = trace.CompareFailed("node %q was replaced by a process with incarnation %d; this process has incarnation %d",
			e.self.Node, highest, e.self.Incarnation)
	case !e.mayWriteDomain && (logged >= e.self.Incarnation || reported > e.self.Incarnation):
		e.setIncarnation(highest + 1)
	}
	e.mayWriteDomain = true
	e.pruneLapsedTasks()
}

// setIncarnation changes the incarnation of this process wherever it is kept.
func (e *engine) setIncarnation(incarnation uint64) {
	e.logger.Warn("incarnation raised above that of an earlier process of this node; the clock has moved back",
		zap.Uint64("from", e.self.Incarnation), zap.Uint64("to", incarnation))
	e.self.Incarnation = incarnation
	e.owner.SetSelf(e.self)
	e.members.Self().Incarnation = incarnation
	e.domainWriter.SetIncarnation(incarnation)
	e.manifestWriter.SetIncarnation(incarnation)
}

// forgetMembers removes from the member table the nodes that have been silent for a long time (see
// membership.Table.RemoveStale) and are not on the VM list.
func (e *engine) forgetMembers(now time.Time) {
	listed := make(map[string]bool, len(e.vms))
	for _, vm := range e.vms {
		listed[vm.Address] = true
	}
	e.members.RemoveStale(listed, now)
}
