package membership

import "time"

// Outcome is how a call to a node ended.
type Outcome int

// The outcomes of a call.
const (
	// Answered: the node answered.
	Answered Outcome = iota + 1
	// Silent: there was no answer in time. The node is paused, or cut off from here.
	Silent
	// Refused: the address refused the connection. The process is gone.
	Refused
)

// slowAfter is the time to an answer from which a node counts as slow.
const slowAfter = 500 * time.Millisecond

// contact is the newest direct contact with a node.
type contact struct {
	outcome Outcome
	at      time.Time
	took    time.Duration
}

// Condition says more of a node than its state does, for operators.
type Condition string

// The conditions of a node.
const (
	// Healthy: nothing is known against the node.
	Healthy Condition = ""
	// Slow: the node answers, but late.
	Slow Condition = "slow"
	// Unreachable: peers hear of the node, but it does not answer this one.
	Unreachable Condition = "unreachable from here"
	// Paused: the node neither answers nor is heard of, although its address takes connections.
	Paused Condition = "paused or cut off"
	// Gone: the node's address refuses connections.
	Gone Condition = "process gone"
)

// Contact notes how a call to the node at a peer address ended.
func (t *Table) Contact(address string, outcome Outcome, took time.Duration, now time.Time) {
	for _, m := range t.rows {
		if m.Address == address && m.Node != t.self {
			m.contact = contact{outcome: outcome, at: now, took: took}
		}
	}
}

// ConditionOf returns the condition of a node.
func (t *Table) ConditionOf(node string, now time.Time) Condition {
	m := t.rows[node]
	if m == nil || node == t.self || m.Leaving {
		return Healthy
	}
	heard := now.Sub(m.AdvancedAt) < t.periods.SuspectAfter
	switch {
	case m.contact.outcome == Answered && heard && m.contact.took >= slowAfter:
		return Slow
	case m.contact.outcome == Answered && heard, heard && m.contact.outcome == 0:
		return Healthy
	case heard && m.contact.at.After(m.AdvancedAt.Add(-t.periods.SuspectAfter)):
		return Unreachable
	case heard:
		return Healthy
	case m.contact.outcome == Refused:
		return Gone
	default:
		return Paused
	}
}
