// Package evacuation keeps the set of evacuated failure domains: those in which no task is started until the operator
// withdraws the request. It applies the records of the requests in the order of the log, does no I/O and reads no clock.
package evacuation

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"cactuswall.example/cactuswall/internal/store"
)

// KeyPrefix followed by the name of a failure domain is the key of the record of a request. A record with a JSON object as
// value requests the evacuation, one without a value withdraws the request.
const KeyPrefix = "evacuate/"

// Set is an immutable set of failure domains. The zero value is empty.
type Set struct{ domains map[string]bool }

// NewSet returns the set of the given failure domains.
func NewSet(domains ...string) Set {
	s := Set{domains: make(map[string]bool, len(domains))}
	for _, domain := range domains {
		s.domains[domain] = true
	}
	return s
}

// Contains reports whether a failure domain is evacuated.
func (s Set) Contains(domain string) bool { return s.domains[domain] }

// Domains returns the failure domains, sorted.
func (s Set) Domains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// Equal reports whether two sets have the same members.
func (s Set) Equal(other Set) bool { return maps.Equal(s.domains, other.domains) }

// View is what a node knows of the requests: the evacuated failure domains, and a time at which the log certainly contained
// no other record of a request. It is not changed after it is published.
type View struct {
	Set         Set
	ConfirmedAt time.Duration
}

// Usable reports whether tasks may be started on the basis of the view. maxAge is the longest time since the view was
// confirmed, or 0 for no limit.
func (v *View) Usable(now, maxAge time.Duration) bool {
	return maxAge == 0 || now-v.ConfirmedAt <= maxAge
}

// startOrderTime is the time that is allowed from the last check of a start order until the worker carries it out. A call to a
// worker is given up after 1.2 s, and the process may lose the processor between the check and the call.
const startOrderTime = 1500 * time.Millisecond

// MaxAge returns the age up to which a view may be used for a bound of the time from the request of an evacuation until no task
// starts, or 0, for no limit, without a bound.
func MaxAge(bound time.Duration) time.Duration { return max(0, bound-startOrderTime) }

// Change is the effect of a record: an evacuation begins or ends, or the record is ignored.
type Change struct {
	Domain  string
	Active  bool    // after the change; not set if Ignored is
	Ignored Ignored // why the record has no effect; empty if it has one
	Offset  store.Offset
}

// Ignored is the reason for which a record has no effect.
type Ignored string

// The reasons are written to metrics and to the log.
const (
	IgnoredNoDomain      Ignored = "no_domain"          // the key names no failure domain
	IgnoredUnknownDomain Ignored = "unknown_domain"     // the deployment has no such failure domain
	IgnoredMalformed     Ignored = "malformed"          // the value is not a JSON object
	IgnoredRepeated      Ignored = "repeated"           // the failure domain is evacuated already
	IgnoredUnread        Ignored = "withdrawn_unread"   // the request was withdrawn before it was read
	IgnoredNotRequested  Ignored = "withdrawal_of_none" // there is no request to withdraw
)

// Tracker derives the set of evacuated failure domains from the records of a topic. It is not safe for concurrent use.
type Tracker struct {
	known   map[string]bool // the failure domains of the deployment; empty if they are not known
	active  map[string]store.Offset
	applied store.Offset // all records before this offset have been applied
}

// NewTracker returns a tracker for a deployment with the given failure domains. If there are none, any domain is accepted.
func NewTracker(domains []string) *Tracker {
	t := &Tracker{known: make(map[string]bool, len(domains)), active: make(map[string]store.Offset)}
	for _, domain := range domains {
		t.known[domain] = true
	}
	return t
}

// Set returns the evacuated failure domains.
func (t *Tracker) Set() Set { return NewSet(slices.Collect(maps.Keys(t.active))...) }

// Apply applies records that were read from the topic in the order of their offsets; next is the offset after the last one.
// Records that were applied before, and those of other keys, are skipped.
func (t *Tracker) Apply(records []store.Record, next store.Offset) (changes []Change) {
	var unread []string // domains with a request that a later one of the records withdraws
	for i, r := range records {
		domain, ok := strings.CutPrefix(r.Key, KeyPrefix)
		if !ok || r.Offset < t.applied {
			continue
		}
		_, active := t.active[domain]
		c := Change{Domain: domain, Offset: r.Offset}
		switch {
		case len(r.Value) == 0 && slices.Contains(unread, domain):
			c.Ignored = IgnoredUnread
			unread = slices.DeleteFunc(unread, func(d string) bool { return d == domain })
		case len(r.Value) == 0 && !active:
			c.Ignored = IgnoredNotRequested
		case len(r.Value) == 0:
			delete(t.active, domain)
		default:
			c.Ignored = t.check(domain, r.Value)
			if (c.Ignored == "" || c.Ignored == IgnoredUnknownDomain) && !active && withdrawnLater(records[i+1:], r.Key) {
				if !slices.Contains(unread, domain) {
					unread = append(unread, domain)
				}
				continue
			}
			c = t.request(c)
		}
		changes = append(changes, c)
	}
	t.applied = max(t.applied, next)
	return changes
}

// Relist applies a listing of the newest record of each key, made while the topic ended at an offset of at least end. A
// request that is not listed counts as withdrawn. Records from end on are left to Apply.
func (t *Tracker) Relist(records []store.Record, end store.Offset) (changes []Change) {
	listed := make(map[string]bool)
	for _, r := range records {
		domain, ok := strings.CutPrefix(r.Key, KeyPrefix)
		if !ok || len(r.Value) == 0 {
			continue
		}
		listed[domain] = true
		if r.Offset < t.applied || r.Offset >= end {
			continue
		}
		c := Change{Domain: domain, Offset: r.Offset, Ignored: t.check(domain, r.Value)}
		changes = append(changes, t.request(c))
	}
	for _, domain := range slices.Sorted(maps.Keys(t.active)) {
		if !listed[domain] && t.active[domain] < end {
			delete(t.active, domain)
			changes = append(changes, Change{Domain: domain, Offset: end})
		}
	}
	t.applied = max(t.applied, end)
	return changes
}

// withdrawnLater reports whether one of the records withdraws the request with a key.
func withdrawnLater(records []store.Record, key string) bool {
	return slices.ContainsFunc(records, func(r store.Record) bool { return r.Key == key && len(r.Value) == 0 })
}

// check returns why a request has no effect regardless of earlier ones, or an empty string.
func (t *Tracker) check(domain string, value []byte) Ignored {
	switch {
	case domain == "":
		return IgnoredNoDomain
	case !isObject(value):
		return IgnoredMalformed
	case !t.Known(domain):
		return IgnoredUnknownDomain
	}
	return ""
}

// request applies a checked request. One for an unknown failure domain is kept, so that it applies to workers that register
// there all the same.
func (t *Tracker) request(c Change) Change {
	if c.Ignored != "" && c.Ignored != IgnoredUnknownDomain {
		return c
	}
	if _, active := t.active[c.Domain]; active {
		c.Ignored = IgnoredRepeated
		return c
	}
	t.active[c.Domain] = c.Offset
	c.Active = c.Ignored == ""
	return c
}

// Known reports whether the deployment has a failure domain, as far as that is known.
func (t *Tracker) Known(domain string) bool { return len(t.known) == 0 || t.known[domain] }

// isObject reports whether a value is a JSON object.
func isObject(value []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(value, " \t\r\n"), []byte("{")) && json.Valid(value)
}
