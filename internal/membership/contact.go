package membership

import "time"

// Outcome is the result of a call to a node.
type Outcome int

// The outcomes of a call.
const (
	// CallSucceeded means that the node responded.
	CallSucceeded Outcome = iota + 1
	// CallTimedOut means that the call timed out. The node is paused or cannot be reached from this node.
	CallTimedOut
	// CallRefused means that the connection was refused. The process has exited.
	CallRefused
)

// slowAfter is the response time from which a node counts as slow.
const slowAfter = 500 * time.Millisecond

// contactResult is the result of the newest call from this node to another node.
type contactResult struct {
	outcome Outcome
	at      time.Time
	latency time.Duration
}

// Condition describes the health of a node to operators in more detail than its state does.
type Condition string

// The conditions of a node.
const (
	// Healthy means that no problem is known.
	Healthy Condition = ""
	// Slow means that the node responds late.
	Slow Condition = "slow"
	// Unreachable means that the heartbeat advances, but the node does not respond to this node.
	Unreachable Condition = "unreachable from here"
	// Paused means that the heartbeat does not advance and that the newest call, if any, was not refused.
	Paused Condition = "paused or cut off"
	// ProcessGone means that the heartbeat does not advance and that the newest call was refused.
	ProcessGone Condition = "process gone"
)

// RecordCall records the outcome and the response time of a call to the node at a peer address.
func (t *Table) RecordCall(address string, outcome Outcome, latency time.Duration, now time.Time) {
	for _, m := range t.rows {
		if m.Address == address && m.Node != t.self {
			m.lastContact = contactResult{outcome: outcome, at: now, latency: latency}
		}
	}
}

// ConditionOf returns the condition of a node at the time now. It is Healthy for an unknown node, a leaving node
// and the node itself.
func (t *Table) ConditionOf(node string, now time.Time) Condition {
	m := t.rows[node]
	if m == nil || node == t.self || m.Leaving {
		return Healthy
	}
	recentlyHeard := now.Sub(m.AdvancedAt) < t.timeouts.SuspectAfter
	switch {
	case m.lastContact.outcome == CallSucceeded && recentlyHeard && m.lastContact.latency >= slowAfter:
		return Slow
	case m.lastContact.outcome == CallSucceeded && recentlyHeard, recentlyHeard && m.lastContact.outcome == 0:
		return Healthy
	case recentlyHeard && m.lastContact.at.After(m.AdvancedAt.Add(-t.timeouts.SuspectAfter)):
		return Unreachable
	case recentlyHeard:
		return Healthy
	case m.lastContact.outcome == CallRefused:
		return ProcessGone
	default:
		return Paused
	}
}
