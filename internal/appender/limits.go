package appender

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/store"
	"cactuswall.example/cactuswall/internal/verdict"
)

// Limits are the limits of the store, in bytes; 0 for none.
type Limits struct {
	RecordBytes int // maximum size of one record
	CallBytes   int // maximum size of the records of one append
}

// Attempt is a call to the store that appends a batch of records, whether it succeeded or not.
type Attempt struct {
	Partition store.Partition
	Number    int // counts the attempts of this batch from 1
	Records   int
	Bytes     int // size of all records
	// LargestKey and LargestBytes are the key and the size of the largest record.
	LargestKey   string
	LargestBytes int
	Took         time.Duration
	// Err is nil if the store has appended the batch.
	Err error
}

// AppendInOrder writes records in as many appends as the limits of the store need, one after the other. If it fails, the records before
// some point may be stored; those from there on are as the verdict of the error says.
func (a *Appender) AppendInOrder(ctx context.Context, records []store.Record) error {
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) {
			size += store.RecordsSize(records[count : count+1])
			if count > 0 && a.limits.CallBytes > 0 && size > a.limits.CallBytes {
				break
			}
			count++
		}
		if _, err := a.Append(ctx, records[:count]); err != nil {
			return err
		}
		records = records[count:]
	}
	return nil
}

// checkSize returns an error if the store would not take an append because of its size.
func (a *Appender) checkSize(records []store.Record) error {
	if size := store.RecordsSize(records); a.limits.CallBytes > 0 && size > a.limits.CallBytes {
		return verdict.New(verdict.NotRun, ReasonTooLarge, trace.LimitExceeded("%d records have %d bytes, maximum is %d", len(records), size, a.limits.CallBytes))
	}
	for i := range records {
		if size := records[i].Size(); a.limits.RecordBytes > 0 && size > a.limits.RecordBytes {
			return verdict.New(verdict.NotRun, ReasonTooLarge, trace.LimitExceeded("record %s has %d bytes, maximum is %d", records[i].Key, size, a.limits.RecordBytes))
		}
	}
	return nil
}

// newAttempt describes the attempts of a batch, of which none was made.
func newAttempt(p store.Partition, records []store.Record) Attempt {
	attempt := Attempt{Partition: p, Records: len(records), Bytes: store.RecordsSize(records)}
	for i := range records {
		if size := records[i].Size(); size > attempt.LargestBytes {
			attempt.LargestKey, attempt.LargestBytes = records[i].Key, size
		}
	}
	return attempt
}
