package journal

import "cactuswall.example/cactuswall/internal/record"

// Class is the priority of a record when the queue fills up because the log cannot be written.
type Class string

// The classes, from the first to the last to be rejected. Renewals, which extend a node's claims of shards, are
// never rejected: only the newest one is kept, and it gets the incarnation and the sequence number of the batch
// that it is sent in.
const (
	// ClassSnapshot is for snapshots and for records that remove tasks. They are created again later.
	ClassSnapshot Class = "snapshot"
	// ClassPlacement is for placements and transfers. Their tasks stay pending.
	ClassPlacement Class = "placement"
	// ClassClaim is for claims of shards. A node decides on them again in its next tick (see
	// settings.Scheduling.Tick).
	ClassClaim Class = "claim"
	// ClassEnd is for all other records, such as ends of tasks, releases and publications.
	ClassEnd Class = "end"
)

// maxQueuedRecords is the maximum number of records that wait to be appended.
const maxQueuedRecords = 16384

// classLimits maps a class to the queue length up to which its records are accepted.
var classLimits = map[Class]int{
	ClassSnapshot:  maxQueuedRecords / 8,
	ClassPlacement: maxQueuedRecords / 2,
	ClassClaim:     maxQueuedRecords * 3 / 4,
	ClassEnd:       maxQueuedRecords,
}

// ClassOf returns the class of a record.
func ClassOf(r *record.Record) Class {
	switch r.GetBody().(type) {
	case *record.Record_DomainSnapshot, *record.Record_ManifestSnapshot, *record.Record_Forget:
		return ClassSnapshot
	case *record.Record_Placement, *record.Record_Transfer:
		return ClassPlacement
	case *record.Record_Claim:
		return ClassClaim
	default:
		return ClassEnd
	}
}
