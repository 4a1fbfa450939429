// Package intake decides which requests of callers may use memory and which connections may stay open. The load that it
// answers is that of callers outside the operators' control, which send many bodies at once, send them slowly or not to the
// end, and keep connections open. It does no I/O and reads no clock; package httpintake applies its decisions to HTTP servers.
//
// Times are durations since any fixed moment and must not decrease from call to call.
package intake

import (
	"slices"
	"time"
)

// BudgetLimits are the limits of a Budget.
type BudgetLimits struct {
	// Bytes is the most that all requests together may hold.
	Bytes int64
	// SmallBytes is the largest size of a small request.
	SmallBytes int64
	// Stall is how long a request that is being read may be without progress before it can be interrupted in favour of one
	// that waits. Progress is ProgressBytes more, so that a request cannot keep its place with single bytes.
	Stall         time.Duration
	ProgressBytes int64
	// MaxWait is how long a request may wait before it is refused, MaxWaiting how many may wait.
	MaxWait    time.Duration
	MaxWaiting int
}

const (
	// smallShare is the divisor of the part of a budget that large requests do not use, so that many small requests and few
	// large ones both make progress.
	smallShare = 4
	// callerShareNumerator and callerShareDenominator are the part of a limit that one caller address may use. It is most of
	// the limit, since hundreds of ordinary callers may be behind one address.
	callerShareNumerator, callerShareDenominator = 3, 4
)

func callerShare[N int | int64](limit N) N {
	return limit * callerShareNumerator / callerShareDenominator
}

// State is the state of a Request.
type State int

// The states of a Request.
const (
	// Waiting requests hold nothing yet.
	Waiting State = iota
	// Reading requests hold their size while their body arrives.
	Reading
	// Interrupted requests must end. They hold their size until they are released.
	Interrupted
	// Complete requests hold their size and are not interrupted.
	Complete
	// Refused requests hold nothing and never will.
	Refused
	// Released requests hold nothing any more.
	Released
)

// Refusal is the reason for which a request was refused or interrupted.
type Refusal int

// The reasons.
const (
	NotRefused Refusal = iota
	TooManyWaiting
	WaitedTooLong
	MadeNoProgress
	Stopped
)

// class is small or large.
type class int

const (
	small class = iota
	large
	classes
)

// Request is a request that holds part of a Budget or waits for it.
type Request struct {
	// User is for the user of the package.
	User any

	caller     string
	class      class
	bytes      int64
	state      State
	refusal    Refusal
	arrivedAt  time.Duration
	progressAt time.Duration
	unmarked   int64 // bytes read since progressAt
	links      links[Request]
}

// State returns the state.
func (r *Request) State() State { return r.state }

// Refusal returns why the request is in state Refused or Interrupted.
func (r *Request) Refusal() Refusal { return r.refusal }

// callerUse is what one caller address holds, by class, and how many of its requests wait.
type callerUse struct {
	bytes   [classes]int64
	waiting int
}

// Budget divides an amount of memory between requests. It is not safe for concurrent use.
//
// Small requests have a part of it to themselves and may use the rest while no large request waits. One caller address may
// use callerShare of what its class may use. Requests that do not fit wait in the order of their arrival. Those that are
// being read and have gone longest without progress are interrupted in favour of waiting ones.
type Budget struct {
	limits  BudgetLimits
	used    [classes]int64
	callers map[string]callerUse
	waiting [classes]list[Request]
	// reading is in the order of progressAt. interrupted are those that were interrupted and are not released.
	reading, interrupted list[Request]
	changes              Changes
	stopped              bool
	// overShare are the callers over their share that settle has met. They are few, since a share is most of a pool.
	overShare []string
}

// Changes are requests whose state Settle has changed. The slices are valid until the next call.
type Changes struct {
	Granted, Interrupted, Refused []*Request
}

// NewBudget returns a Budget without requests.
func NewBudget(l BudgetLimits) *Budget {
	b := &Budget{callers: make(map[string]callerUse), limits: l}
	linksOf := func(r *Request) *links[Request] { return &r.links }
	for _, l := range []*list[Request]{&b.waiting[small], &b.waiting[large], &b.reading, &b.interrupted} {
		l.links = linksOf
	}
	return b
}

// Used returns the size of all requests that hold part of the budget.
func (b *Budget) Used() int64 { return b.used[small] + b.used[large] }

// WaitingCount returns the number of requests that wait.
func (b *Budget) WaitingCount() int { return b.waiting[small].length + b.waiting[large].length }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limits.Bytes }

// pool returns what the requests of a class may use while requests of both classes wait.
func (b *Budget) pool(c class) int64 {
	smallPool := b.limits.Bytes / smallShare
	if c == small {
		return smallPool
	}
	return b.limits.Bytes - smallPool
}

// Arrive adds a request of the given size. It is Reading if there is room for it, else Waiting or Refused; Settle may grant it
// after that. A size above what its class may use counts as that, so that such a request is served alone.
func (b *Budget) Arrive(now time.Duration, caller string, bytes int64) *Request {
	r := &Request{caller: caller, class: large, bytes: bytes, arrivedAt: now}
	if bytes <= b.limits.SmallBytes {
		r.class = small
	}
	r.bytes = min(bytes, b.pool(r.class))
	switch {
	case b.stopped && !b.hasRoom(r):
		r.state, r.refusal = Refused, Stopped
	case b.waiting[r.class].length == 0 && b.withinShare(r) && b.hasRoom(r):
		b.grant(r, now)
	case b.WaitingCount() >= b.limits.MaxWaiting || b.callers[caller].waiting >= max(1, callerShare(b.limits.MaxWaiting)):
		r.state, r.refusal = Refused, TooManyWaiting
	default:
		b.waiting[r.class].pushBack(r)
		b.count(r, 0, 1)
	}
	return r
}

// Progress notes that more of a request's body was read. It reports whether that counts as progress.
func (b *Budget) Progress(r *Request, now time.Duration, bytes int64) bool {
	r.unmarked += bytes
	if r.state != Reading || r.unmarked < b.limits.ProgressBytes {
		return false
	}
	r.unmarked, r.progressAt = 0, now
	r.links.remove()
	b.reading.pushBack(r)
	return true
}

// Complete notes that the body of a request was read. The request holds the given size from now on, if it is smaller, and is
// not interrupted any more. It reports false if the request was interrupted before.
func (b *Budget) Complete(r *Request, bytes int64) bool {
	if r.state != Reading {
		return false
	}
	r.state = Complete
	r.links.remove()
	b.Shrink(r, bytes)
	return true
}

// Shrink reduces what a request holds.
func (b *Budget) Shrink(r *Request, bytes int64) {
	if bytes >= r.bytes || !r.holds() {
		return
	}
	freed := r.bytes - max(0, bytes)
	b.used[r.class] -= freed
	b.count(r, -freed, 0)
	r.bytes -= freed
}

// Release ends a request in any state.
func (b *Budget) Release(r *Request) {
	switch {
	case r.state == Waiting:
		b.count(r, 0, -1)
	case r.holds():
		b.used[r.class] -= r.bytes
		b.count(r, -r.bytes, 0)
	}
	r.links.remove()
	r.state = Released
}

// Stop has requests that would have to wait refused from now on, and those that are being read interrupted once they stall,
// even if no request waits.
func (b *Budget) Stop() { b.stopped = true }

// Settle grants, interrupts and refuses requests as time and released requests allow, and returns those.
func (b *Budget) Settle(now time.Duration) Changes {
	b.changes = Changes{Granted: b.changes.Granted[:0], Interrupted: b.changes.Interrupted[:0], Refused: b.changes.Refused[:0]}
	for c := range classes {
		b.refuseOld(c, now)
	}
	// Large requests come first, so that what they wait for is not taken by small ones that could use their own part.
	b.settle(large, now)
	b.settle(small, now)
	if b.stopped {
		b.interruptStalled(b.limits.Bytes, now, Stopped, func(*Request) bool { return true })
	}
	return b.changes
}

// Due returns when Settle must be called next although no request is added or released, or false if it need not be.
func (b *Budget) Due() (time.Duration, bool) {
	if b.WaitingCount() == 0 && !b.stopped {
		return 0, false
	}
	due, found := time.Duration(0), false
	add := func(at time.Duration) {
		if !found || at < due {
			due, found = at, true
		}
	}
	for c := range classes {
		if r := b.waiting[c].first; r != nil {
			add(r.arrivedAt + b.limits.MaxWait)
		}
	}
	if r := b.reading.first; r != nil {
		add(r.progressAt + b.limits.Stall)
	}
	return due, found
}

func (b *Budget) refuseOld(c class, now time.Duration) {
	for r := b.waiting[c].first; r != nil; r = b.waiting[c].first {
		switch {
		case b.stopped:
			r.refusal = Stopped
		case now-r.arrivedAt >= b.limits.MaxWait:
			r.refusal = WaitedTooLong
		default:
			return
		}
		r.links.remove()
		b.count(r, 0, -1)
		r.state = Refused
		b.changes.Refused = append(b.changes.Refused, r)
	}
}

// settle grants waiting requests of a class. A request that exceeds its caller's share does not hold up the others; one that
// does not fit does, so that it is not overtaken without bound.
func (b *Budget) settle(c class, now time.Duration) {
	b.overShare = b.overShare[:0]
	for r := b.waiting[c].first; r != nil; {
		next := b.waiting[c].next(r)
		switch {
		case !b.withinShare(r):
			if !slices.Contains(b.overShare, r.caller) {
				b.overShare = append(b.overShare, r.caller)
				need := b.callers[r.caller].bytes[c] + r.bytes - callerShare(b.pool(c))
				b.interruptStalled(need, now, MadeNoProgress, func(o *Request) bool { return o.class == c && o.caller == r.caller })
			}
		case b.hasRoom(r):
			r.links.remove()
			b.count(r, 0, -1)
			b.grant(r, now)
			b.changes.Granted = append(b.changes.Granted, r)
		default:
			excess := b.used[small] > b.pool(small)
			need := max(b.used[c]+r.bytes-b.pool(c), b.Used()+r.bytes-b.limits.Bytes)
			b.interruptStalled(need, now, MadeNoProgress, func(o *Request) bool { return o.class == c || o.class == small && excess })
			return
		}
		r = next
	}
}

// interruptStalled interrupts the requests that match and have gone longest without progress, until they and those that were
// interrupted before hold need bytes.
func (b *Budget) interruptStalled(need int64, now time.Duration, why Refusal, matches func(*Request) bool) {
	for r := b.interrupted.first; r != nil && need > 0; r = b.interrupted.next(r) {
		if matches(r) {
			need -= r.bytes
		}
	}
	for r := b.reading.first; r != nil && need > 0 && now-r.progressAt >= b.limits.Stall; {
		next := b.reading.next(r)
		if matches(r) {
			need -= r.bytes
			r.links.remove()
			b.interrupted.pushBack(r)
			r.state, r.refusal = Interrupted, why
			b.changes.Interrupted = append(b.changes.Interrupted, r)
		}
		r = next
	}
}

// hasRoom reports whether the budget has room for a request.
func (b *Budget) hasRoom(r *Request) bool {
	if b.Used()+r.bytes > b.limits.Bytes {
		return false
	}
	return b.used[r.class]+r.bytes <= b.pool(r.class) || r.class == small && b.waiting[large].length == 0
}

// withinShare reports whether a request leaves its caller within its share. The first request of a caller always does.
func (b *Budget) withinShare(r *Request) bool {
	used := b.callers[r.caller].bytes[r.class]
	return used == 0 || used+r.bytes <= callerShare(b.pool(r.class))
}

func (b *Budget) grant(r *Request, now time.Duration) {
	r.state, r.progressAt, r.unmarked = Reading, now, 0
	b.used[r.class] += r.bytes
	b.count(r, r.bytes, 0)
	b.reading.pushBack(r)
}

// count changes what the caller of a request holds and how many of its requests wait.
func (b *Budget) count(r *Request, bytes int64, waiting int) {
	use := b.callers[r.caller]
	use.bytes[r.class] += bytes
	use.waiting += waiting
	if use == (callerUse{}) {
		delete(b.callers, r.caller)
		return
	}
	b.callers[r.caller] = use
}

// holds reports whether a request holds part of the budget.
func (r *Request) holds() bool {
	return r.state == Reading || r.state == Interrupted || r.state == Complete
}
