package node

import (
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// checkIncarnation keeps the incarnation of this process above that of every earlier process of the same
// node, also after the clock has gone back. Before the process has committed anything it takes a higher
// one. Afterwards a higher one means that another process has taken the node's place, and this one ends.
func (e *engine) checkIncarnation() {
	written, named := e.ledger.HighestIncarnation(e.self.Node), e.members.ReplacedBy()
	highest := max(written, named)
	switch {
	case e.committing && highest > e.self.Incarnation:
		e.replaced = trace.CompareFailed("another process of node %q has incarnation %d, this one has %d",
			e.self.Node, highest, e.self.Incarnation)
	case !e.committing && (written >= e.self.Incarnation || named > e.self.Incarnation):
		e.setIncarnation(highest + 1)
	}
	e.committing = true
	e.forgetRetreats()
}

func (e *engine) setIncarnation(incarnation uint64) {
	e.logger.Warn("an earlier process of this node had a higher incarnation; the clock has gone back",
		zap.Uint64("from", e.self.Incarnation), zap.Uint64("to", incarnation))
	e.self.Incarnation = incarnation
	e.owner.SetSelf(e.self)
	e.members.Self().Incarnation = incarnation
	e.domainWriter.SetIncarnation(incarnation)
	e.manifestWriter.SetIncarnation(incarnation)
}

// forgetMembers drops nodes that are long gone.
func (e *engine) forgetMembers(now time.Time) {
	listed := make(map[string]bool, len(e.vms))
	for _, vm := range e.vms {
		listed[vm.Address] = true
	}
	e.members.Forget(listed, now)
}
