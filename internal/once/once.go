// Package once keeps the idempotency keys of requests that must run at most once.
//
// A key belongs to one failure domain. The first KeyBegin for it in that domain's stream of the log has the
// right to run the request; every node of the domain reads the stream and comes to the same result. A key is
// forgotten a lifetime after it was read.
package once

import (
	"crypto/sha256"
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/record"
)

// keyBytes is the length of a key's hash.
const keyBytes = 16

// Key is a hash over the service and the key that the caller gave.
type Key [keyBytes]byte

// KeyOf returns the key of a request.
func KeyOf(service, given string) Key {
	sum := sha256.Sum256([]byte(service + "\x00" + given))
	return Key(sum[:keyBytes])
}

// Home returns the failure domain that the key belongs to, or "" when there is no domain.
func (k Key) Home(domains []string) string { return failuredomain.Rendezvous(string(k[:]), domains) }

// Attempt names one attempt of one node to run a request.
type Attempt struct {
	Node        string
	Incarnation uint64
	Number      uint64
}

// State is what is known of a key.
type State int

// The states of a key.
const (
	// Free: nobody has the right to run the request.
	Free State = iota
	// Begun: an attempt has the right and has not ended.
	Begun
	// Ran: the request has run, or may have.
	Ran
)

// row is one key.
type row struct {
	attempt Attempt
	state   State
	readAt  time.Time
	// contested is set when another attempt has asked for the key while this one held it.
	contested bool
}

// aged is a key with the time after which it may be forgotten.
type aged struct {
	key    Key
	readAt time.Time
}

// Table holds the keys of a failure domain. Its methods are not safe for concurrent use.
type Table struct {
	lifetime time.Duration
	rows     map[Key]row
	// order holds the keys by the time that they were read, the oldest first.
	order []aged
}

// NewTable returns an empty table that forgets a key a lifetime after it was read.
func NewTable(lifetime time.Duration) *Table {
	return &Table{lifetime: lifetime, rows: make(map[Key]row)}
}

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.rows) }

// State returns what is known of a key and the attempt that has the right.
func (t *Table) State(k Key) (State, Attempt) {
	r := t.rows[k]
	return r.state, r.attempt
}

// Apply takes one record of the domain's stream into account. For a KeyBegin it reports the attempt and
// whether that has the right.
func (t *Table) Apply(r *record.Record, now time.Time) (a Attempt, granted, begin bool) {
	t.forget(now)
	switch body := r.GetBody().(type) {
	case *record.Record_KeyBegin:
		key, ok := keyFrom(body.KeyBegin.GetKey())
		a = attemptFrom(body.KeyBegin.GetAttempt())
		return a, ok && t.begin(key, a, now), true
	case *record.Record_KeyEnd:
		if key, ok := keyFrom(body.KeyEnd.GetKey()); ok {
			t.end(key, attemptFrom(body.KeyEnd.GetAttempt()), body.KeyEnd.GetNotRun())
		}
	}
	return Attempt{}, false, false
}

func (t *Table) begin(k Key, a Attempt, now time.Time) bool {
	held, known := t.rows[k]
	if known && held.attempt == a {
		return held.state == Begun
	}
	if known {
		// Nodes forget at different times. A node that has forgotten this key grants the attempt, so the
		// key is kept for a lifetime from now, whatever the holder says.
		held.readAt = now
		held.contested = true
		t.rows[k] = held
		t.order = append(t.order, aged{k, now})
		return false
	}
	t.rows[k] = row{attempt: a, state: Begun, readAt: now}
	t.order = append(t.order, aged{k, now})
	return true
}

func (t *Table) end(k Key, a Attempt, notRun bool) {
	held, known := t.rows[k]
	if !known || held.attempt != a {
		return
	}
	if notRun && !held.contested {
		delete(t.rows, k)
		return
	}
	if !notRun {
		held.state = Ran
	}
	t.rows[k] = held
}

// forget drops the keys whose lifetime has passed.
func (t *Table) forget(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].readAt) >= t.lifetime {
		oldest := t.order[0]
		t.order = t.order[1:]
		if held, known := t.rows[oldest.key]; known && held.readAt.Equal(oldest.readAt) {
			delete(t.rows, oldest.key)
		}
	}
}

func keyFrom(data []byte) (Key, bool) {
	if len(data) != keyBytes {
		return Key{}, false
	}
	return Key(data), true
}

func attemptFrom(a *record.KeyAttempt) Attempt {
	return Attempt{Node: a.GetNode(), Incarnation: a.GetIncarnation(), Number: a.GetNumber()}
}

// BeginRecord returns the record that asks for the right to run a request.
func BeginRecord(k Key, a Attempt) *record.Record {
	return &record.Record{Body: &record.Record_KeyBegin{KeyBegin: &record.KeyBegin{Key: k[:], Attempt: a.record()}}}
}

// EndRecord returns the record that ends an attempt.
func EndRecord(k Key, a Attempt, notRun bool) *record.Record {
	end := &record.KeyEnd{Key: k[:], Attempt: a.record(), NotRun: notRun}
	return &record.Record{Body: &record.Record_KeyEnd{KeyEnd: end}}
}

func (a Attempt) record() *record.KeyAttempt {
	return &record.KeyAttempt{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number}
}
