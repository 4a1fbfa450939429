// Package rescue moves waiting tasks out of a failure domain that is lost, as far as their jobs permit.
//
// A domain counts as lost when none of its nodes has been heard of for a while. Then one node of another
// domain follows the lost domain's stream and claims its shards there by the same rule as its own nodes do:
// a claim must replace one whose lease has lapsed. As the owner it gives each waiting task that may run
// elsewhere to its own domain, in the lost domain's stream, and repeats the transfer in its own domain's
// stream. The order of the log makes this safe: a home node that is still at work keeps its claims, and one
// that comes back finds them superseded. Open attempts stay where they are.
package rescue

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
)

// Watch tells which failure domains are lost.
type Watch struct {
	after time.Duration
	// silentSince is when each domain was first without a live node.
	silentSince map[string]time.Time
}

// NewWatch returns a watch for which a domain is lost after a silence.
func NewWatch(after time.Duration) *Watch {
	return &Watch{after: after, silentSince: make(map[string]time.Time)}
}

// Observe takes the names of the live nodes of each failure domain and returns the lost domains, in the
// order of domains.
func (w *Watch) Observe(domains []string, live map[string][]string, now time.Time) []string {
	var lost []string
	for _, domain := range domains {
		if len(live[domain]) > 0 {
			delete(w.silentSince, domain)
			continue
		}
		since, silent := w.silentSince[domain]
		if !silent {
			since = now
			w.silentSince[domain] = now
		}
		if now.Sub(since) >= w.after {
			lost = append(lost, domain)
		}
	}
	return lost
}

// Rescuer returns the node that is to rescue a lost domain, or "". All nodes with the same view agree; where
// views differ the log decides between two rescuers.
func Rescuer(lost string, domains []string, live map[string][]string) string {
	var candidates []string
	for _, domain := range domains {
		if domain != lost && len(live[domain]) > 0 {
			candidates = append(candidates, domain)
		}
	}
	key := "rescue " + lost
	return failuredomain.Rendezvous(key, live[failuredomain.Rendezvous(key, candidates)])
}
