package claim

import (
	"time"

	"cactuswall.example/cactuswall/internal/store"
)

// sentRecord is a record of this process that was sent to the store and whose outcome is not known.
type sentRecord struct {
	record Record
	offset store.Offset // that the record has if it was stored
	sent   time.Duration
}

// Sent records that a claim, renewal or release of this process is about to be sent at the given time, as the record with the
// given offset. If the store's answer is lost, reading the record back takes its place. Otherwise the process would take its own
// claim for that of an owner that has stopped renewing, and wait until it ends.
func (v *View) Sent(r Record, offset store.Offset, sent time.Duration) {
	for i := range v.unanswered {
		if v.unanswered[i].record == r && v.unanswered[i].offset == offset {
			return // it cannot be told which of the two was stored, so the earlier one counts
		}
	}
	v.unanswered = append(v.unanswered, sentRecord{r, offset, sent})
}

// confirm records that the store has accepted a record of this process that was read back, if it is one of those without an
// answer.
func (v *View) confirm(r Record, offset store.Offset) {
	for i := range v.unanswered {
		if u := &v.unanswered[i]; u.offset == offset && u.record == r {
			v.accepted(r, u.sent)
			return
		}
	}
}

// accepted applies the effect of an accepted record of this process that was sent at the given time.
func (v *View) accepted(r Record, sent time.Duration) {
	// A renewal may be accepted after its owner has abandoned the claim. No process acts under that epoch any more.
	v.owns = !r.Released && r.Epoch > v.abandonedEpoch
	v.renewedAt = max(v.renewedAt, sent)
}

// dropSettled forgets the records whose outcome is known because the topic has been read beyond them.
func (v *View) dropSettled() {
	pending := v.unanswered[:0]
	for _, u := range v.unanswered {
		if u.offset >= v.readEnd {
			pending = append(pending, u)
		}
	}
	v.unanswered = pending
}
