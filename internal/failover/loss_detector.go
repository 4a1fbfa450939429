// Package failover moves waiting tasks out of a lost failure domain, if their jobs permit it. It takes the
// entries of the lost domain's log stream and returns the records to append.
//
// A failure domain is lost when it has had no live node for some time. One node of another domain then
// reads the lost domain's stream and claims its shards there, under the same rule as the domain's own nodes:
// a claim can only replace one whose lease has expired. As the owner of the shards it writes a transfer
// record to the lost domain's stream for each waiting task that may run elsewhere, and then an arrival record
// to its own domain's stream. The order of the log makes this safe: a node of the lost domain that still
// runs keeps its claims, and one that comes back finds them superseded. Open attempts are not moved.
package failover

import (
	"time"

	"cactuswall.example/cactuswall/internal/failuredomain"
)

// LossDetector detects lost failure domains.
type LossDetector struct {
	lostAfter time.Duration
	// silentSince is the time at which each domain was first seen without a live node.
	silentSince map[string]time.Time
}

// NewLossDetector returns a detector that reports a failure domain as lost after it has had no live node for
// lostAfter.
func NewLossDetector(lostAfter time.Duration) *LossDetector {
	return &LossDetector{lostAfter: lostAfter, silentSince: make(map[string]time.Time)}
}

// Observe returns the domains that are lost at now, in the order of domains. live holds the names of the
// live nodes by failure domain.
func (d *LossDetector) Observe(domains []string, live map[string][]string, now time.Time) []string {
	var lost []string
	for _, domain := range domains {
		if len(live[domain]) > 0 {
			delete(d.silentSince, domain)
			continue
		}
		since, silent := d.silentSince[domain]
		if !silent {
			since = now
			d.silentSince[domain] = now
		}
		if now.Sub(since) >= d.lostAfter {
			lost = append(lost, domain)
		}
	}
	return lost
}

// ResponsibleNode returns the node that is responsible for moving tasks out of a lost domain, or "" if no
// other domain has a live node. Nodes with the same view of the live nodes return the same result. If views
// differ, two nodes may act, and the order of their claims in the log decides between them.
func ResponsibleNode(lost string, domains []string, live map[string][]string) string {
	var candidates []string
	for _, domain := range domains {
		if domain != lost && len(live[domain]) > 0 {
			candidates = append(candidates, domain)
		}
	}
	key := "rescue " + lost
	return failuredomain.Rendezvous(key, live[failuredomain.Rendezvous(key, candidates)])
}
