// Package store defines the interface to the platform's log store. A keyed topic is a log that keeps at least the
// latest record of each key; it has one partition per cell. Appends can be conditional, and producers have epochs. The
// package holds the arguments and results of calls and the reasons for which they can fail.
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
	// Offset is only set on records in a Page or a ListPage.
	Offset Offset
}

// MaxKeyBytes is the size of the longest key, whose length is one byte.
const MaxKeyBytes = 255

// MaxValueBytes returns the size of the largest value that fits into a record of at most recordBytes, whatever its key.
func MaxValueBytes(recordBytes int) int { return recordBytes - keyLengthBytes - MaxKeyBytes }

// keyLengthBytes and recordLengthBytes are the sizes of the length of a key and of a record in an append.
const (
	keyLengthBytes    = 1
	recordLengthBytes = 4
)

// Size returns the size of the record in bytes, as the store's limit on one record counts it: the key with its length, and the
// value.
func (r *Record) Size() int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// RecordsSize returns the size of records in one append, in bytes: that of each with its length.
func RecordsSize(records []Record) int {
	size := 0
	for i := range records {
		size += recordLengthBytes + records[i].Size()
	}
	return size
}

// Producer identifies the writer of an append. The store rejects an append with a lower epoch than the producer of that
// name has used before, and executes an append that is repeated with the same sequence number only once.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence is the number of the append within its epoch, counted from 0.
	Sequence int64
}

// AppendRequest is an atomic append: either all records are written or none.
type AppendRequest struct {
	Partition Partition
	Records   []Record
	// Producer is nil for an append without a producer.
	Producer *Producer
	// ExpectedEnd, if not nil, makes the append conditional on the partition ending at this offset.
	ExpectedEnd *Offset
}

// AppendResult is the result of an append: the offsets of its first record and of the end of the partition.
type AppendResult struct {
	First Offset
	End   Offset
}

// Page is the result of reading a partition from an offset.
type Page struct {
	Records []Record
	// Next is the offset to continue reading from, End is the end of the partition.
	Next, End Offset
}

// ListPage is one page of the latest record of each key. If More is set, the next page starts after the last key of
// this one.
type ListPage struct {
	Records []Record
	More    bool
	// End is the end of the partition when the page was created.
	End Offset
}

// Reasons for failed calls to the store.
const (
	// ReasonConflict means that the partition does not end at the offset that the append requires.
	ReasonConflict = verdict.Reason("store_conflict")
	// ReasonFenced means that the producer of this name has already written with a newer epoch.
	ReasonFenced = verdict.Reason("store_fenced")
	// ReasonUnexpectedSequence means that a different sequence number is expected; see SequenceError.
	ReasonUnexpectedSequence = verdict.Reason("store_sequence")
	// ReasonTrimmed means that the requested records have been deleted.
	ReasonTrimmed = verdict.Reason("store_trimmed")
	// ReasonBusy means that the store answered that it is overloaded or unavailable, and did nothing.
	ReasonBusy = verdict.Reason("store_busy")
	// ReasonFull means that the store is out of space.
	ReasonFull = verdict.Reason("store_full")
	// ReasonRejected means that the store answered that the call itself is wrong, and did nothing: one of its records is too large, for
	// example. It would give the same answer to the same call again.
	ReasonRejected = verdict.Reason("store_rejected")
	// ReasonUnreachable means that the call did not reach the store.
	ReasonUnreachable = verdict.Reason("store_unreachable")
	// ReasonNoAnswer means that no reply was received; the call may have been executed.
	ReasonNoAnswer = verdict.Reason("store_no_answer")
	// ReasonUnexpected means that the store's reply was not understood.
	ReasonUnexpected = verdict.Reason("store_unexpected_answer")
)

// HasReason reports whether err carries the given reason.
func HasReason(err error, reason verdict.Reason) bool {
	return err != nil && verdict.ReasonOf(err) == reason
}

// SequenceError reports the sequence number that the store expects next from a producer.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("store expects sequence number %d", e.Expected)
}
