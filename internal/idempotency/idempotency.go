// Package idempotency tracks the idempotency keys of requests that must run at most once.
//
// Each key belongs to one failure domain. The first KeyBegin record for a key in that domain's log stream
// grants the right to run the request; every node of the domain reads the stream and reaches the same
// result. A key expires one lifetime (the duration passed to NewTable) after its first KeyBegin record was
// read, or after the latest KeyBegin record of another attempt was read.
package idempotency

import (
	"crypto/sha256"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

// keyBytes is the length of a key in bytes.
const keyBytes = 16

// Key is a truncated SHA-256 hash of the service name and the idempotency key sent by the caller.
type Key [keyBytes]byte

// KeyOf returns the Key for a request to service with the idempotency key callerKey.
func KeyOf(service, callerKey string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + callerKey))
	return Key(sum[:keyBytes])
}

// HomeDomain returns the failure domain that the key belongs to, or "" when domains is empty.
func (k Key) HomeDomain(domains []string) string {
	return failuredomain.Rendezvous(string(k[:]), domains)
}

// Attempt identifies one attempt by one node to run a request. Incarnation distinguishes the successive
// processes of the node; Number distinguishes the attempts of one process.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// State is the state of a key.
type State int

// The states of a key.
const (
	// Free means that no attempt has been granted the right to run the request.
	Free State = iota
	// Begun means that an attempt holds the right to run the request and has not ended.
	Begun
	// Ran means that the request has run or may have run.
	Ran
)

// entry is the state of one key.
type entry struct {
	attempt Attempt
	state   State
	// readAt is the time at which the KeyBegin record of the holder, or the latest one of another attempt, was
	// read. The key expires one lifetime later.
	readAt time.Time
	// contested is set once an attempt other than the holder has requested the key. A contested key is kept
	// until it expires, even if its holder reports that the request did not run.
	contested bool
}

// queuedKey is a key in the expiry queue with the time at which its lifetime started.
type queuedKey struct {
	key    Key
	readAt time.Time
}

// Table holds the keys of a failure domain. Its methods are not safe for concurrent use.
type Table struct {
	lifetime time.Duration
	entries  map[Key]entry
	// expiryQueue holds one item for each time that a key's lifetime started, oldest first. Only the newest
	// item of a key expires it.
	expiryQueue []queuedKey
}

// NewTable returns an empty table whose keys expire after lifetime.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, entries: make(map[Key]entry)}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// State returns the state of a key and the attempt that holds it.
func (t *Table) State(k Key) (State, Attempt) {
	e := t.entries[k]
	return e.state, e.attempt
}

// Apply processes one record of the domain's log stream. For a KeyBegin record, begin is true, a is the
// attempt, and granted reports whether the attempt holds the right to run the request.
func (t *Table) Apply(r *record.Record, now time.Time) (a Attempt, granted, begin bool) {
	t.expire(now)
	switch body := r.GetBody().(type) {
	case *record.Record_KeyBegin:
		key, ok := decodeKey(body.KeyBegin.GetKey())
		a = decodeAttempt(body.KeyBegin.GetAttempt())
		return a, ok && t.begin(key, a, now), true
	case *record.Record_KeyEnd:
		if key, ok := decodeKey(body.KeyEnd.GetKey()); ok {
			t.end(key, decodeAttempt(body.KeyEnd.GetAttempt()), body.KeyEnd.GetNotRun())
		}
	}
	return Attempt{}, false, false
}

// begin processes a KeyBegin record that was read at now and reports whether attempt a holds the right to run
// the request. A repeated record of the holder is granted again until the request has run.
func (t *Table) begin(k Key, a Attempt, now time.Time) bool {
	existing, known := t.entries[k]
	if known && existing.attempt == a {
		return existing.state == Begun
	}
	if known {
		// Keys expire at different times on different nodes. A node on which this key has expired grants the
		// new attempt, so the key is kept for another lifetime, even if the holder reports that the request did
		// not run.
		existing.readAt = now
		existing.contested = true
		t.entries[k] = existing
		t.expiryQueue = append(t.expiryQueue, queuedKey{k, now})
		return false
	}
	t.entries[k] = entry{attempt: a, state: Begun, readAt: now}
	t.expiryQueue = append(t.expiryQueue, queuedKey{k, now})
	return true
}

// end processes a KeyEnd record. If the request ran or may have run, the state of the key becomes Ran. Otherwise
// the key is freed, unless another attempt has requested it; in that case the key keeps its state until it
// expires. A record from an attempt that does not hold the key is ignored.
func (t *Table) end(k Key, a Attempt, notRun bool) {
	existing, known := t.entries[k]
	if !known || existing.attempt != a {
		return
	}
	if notRun && !existing.contested {
		delete(t.entries, k)
		return
	}
	if !notRun {
		existing.state = Ran
	}
	t.entries[k] = existing
}

// expire removes the keys whose lifetime has passed.
func (t *Table) expire(now time.Time) {
	for len(t.expiryQueue) > 0 && now.Sub(t.expiryQueue[0].readAt) >= t.lifetime {
		oldest := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		if existing, known := t.entries[oldest.key]; known && existing.readAt.Equal(oldest.readAt) {
			delete(t.entries, oldest.key)
		}
	}
}

func decodeKey(data []byte) (Key, bool) {
	if len(data) != keyBytes {
		return Key{}, false
	}
	return Key(data), true
}

func decodeAttempt(a *record.KeyAttempt) Attempt {
	return Attempt{Node: a.GetNode(), Incarnation: a.GetIncarnation(), Number: a.GetNumber()}
}

// BeginRecord returns the log record that requests the right to run a request.
func BeginRecord(k Key, a Attempt) *record.Record {
	return &record.Record{Body: &record.Record_KeyBegin{KeyBegin: &record.KeyBegin{Key: k[:], Attempt: a.toRecord()}}}
}

// EndRecord returns the log record that ends an attempt. notRun states that the request did not run; the key
// is then free for other attempts, unless one of them requested it in the meantime.
func EndRecord(k Key, a Attempt, notRun bool) *record.Record {
	end := &record.KeyEnd{Key: k[:], Attempt: a.toRecord(), NotRun: notRun}
	return &record.Record{Body: &record.Record_KeyEnd{KeyEnd: end}}
}

func (a Attempt) toRecord() *record.KeyAttempt {
	return &record.KeyAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}
