// Package store describes the platform's log store as the product uses it: keyed topics of one partition a cell,
// conditional appends, and producers with epochs.
package store

import (
	"fmt"

	"cactuswall.example/cactuswall/internal/verdict"
)

// Offset is the position of a record in a partition.
type Offset int64

// Partition is one partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Record is a record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is set on records that were read.
	Offset Offset
}

// Producer names the writer of an append, so that a repeated append is recognised and an older writer is refused.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of one epoch from 0.
	Sequence int64
}

// Append is one append: all records or none.
type Append struct {
	Partition Partition
	Records   []Record
	// Producer is nil for an append without a producer.
	Producer *Producer
	// AsOf makes the append conditional on the partition's end, when it is not nil.
	AsOf *Offset
}

// Appended is the result of an append.
type Appended struct {
	First Offset
	End   Offset
}

// Page is the result of a read of a partition from an offset on.
type Page struct {
	Records []Record
	// Next is the offset to read from next, End the end of the partition.
	Next, End Offset
}

// Listing is a page of the newest records of each key.
type Listing struct {
	Records []Record
	More    bool
	// End is the end of the partition when the page was made.
	End Offset
}

// Reasons of failed calls to the store.
const (
	// ReasonConflict: the partition does not end where the append requires it.
	ReasonConflict = verdict.Reason("store_conflict")
	// ReasonFenced: a newer epoch of the producer has written.
	ReasonFenced = verdict.Reason("store_fenced")
	// ReasonSequence: another sequence number is expected; see SequenceError.
	ReasonSequence = verdict.Reason("store_sequence")
	// ReasonTrimmed: the records that were asked for have been deleted.
	ReasonTrimmed = verdict.Reason("store_trimmed")
	// ReasonBusy: the store refused the call and did nothing.
	ReasonBusy = verdict.Reason("store_busy")
	// ReasonFull: the store has no room.
	ReasonFull = verdict.Reason("store_full")
	// ReasonUnreachable: the call did not reach the store.
	ReasonUnreachable = verdict.Reason("store_unreachable")
	// ReasonNoAnswer: the call may have been carried out.
	ReasonNoAnswer = verdict.Reason("store_no_answer")
	// ReasonUnexpected: the answer is not one that the store is known to give.
	ReasonUnexpected = verdict.Reason("store_unexpected_answer")
)

// Is tells whether err carries the reason.
func Is(err error, reason verdict.Reason) bool {
	return err != nil && verdict.ReasonOf(err) == reason
}

// SequenceError says which sequence number the store expects of a producer next.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}
