package journal

import "cactuswall.example/cactuswall/internal/record"

// Class orders records by what is given up first while the log cannot be written.
type Class string

// The classes, from the first to the last to be given up. Renewals are in no class: only the newest one
// is kept, and it is stamped when it is sent.
const (
	// ClassSnapshot holds snapshots and the forgetting of tasks. They are made again later.
	ClassSnapshot Class = "snapshot"
	// ClassPlacement holds placements and transfers. Their tasks go on waiting.
	ClassPlacement Class = "placement"
	// ClassClaim holds claims. They are decided again in the next tick.
	ClassClaim Class = "claim"
	// ClassEnd holds ends, releases and publications.
	ClassEnd Class = "end"
)

// maxQueuedRecords bounds the records that wait to be appended.
const maxQueuedRecords = 16384

// classLimits gives the length of the queue up to which records of a class are taken.
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
