// Package failuredomain assigns jobs to failure domains, keys to candidates such as failure domains or nodes, and
// workers and tasks to the shards of a failure domain, and divides service instances among failure domains.
//
// All functions are deterministic, so every node computes the same result without communication.
package failuredomain

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ShardsPerDomain is the number of shards in each failure domain. A shard is the unit of ownership: a set of
// workers with the tasks on them, and a set of waiting tasks.
const ShardsPerDomain = 8

// ShardOf returns the shard of a worker, or the initial shard of a task, from 0 to ShardsPerDomain-1.
func ShardOf(id string) uint32 {
	return uint32(xxhash.Sum64String(id) % ShardsPerDomain)
}

// HomeDomain returns the home domain of a job, the failure domain to which rendezvous hashing assigns the job, or
// "" when domains is empty.
func HomeDomain(job string, domains []string) string {
	return Rendezvous(job, domains)
}

// Rendezvous returns the candidate with the highest hash for key (rendezvous hashing), or "" when there is
// none. Removing a candidate reassigns only the keys that were assigned to it.
func Rendezvous(key string, candidates []string) string {
	var best string
	var bestScore uint64
	for _, c := range candidates {
		score := xxhash.Sum64String(key + "\x00" + c)
		if best == "" || score > bestScore || (score == bestScore && c < best) {
			best, bestScore = c, score
		}
	}
	return best
}

// Rank returns the number of candidates that rank before self for key; it is 0 when Rendezvous would choose
// self.
func Rank(key string, candidates []string, self string) int {
	selfScore := xxhash.Sum64String(key + "\x00" + self)
	rank := 0
	for _, c := range candidates {
		if c == self {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + c)
		if score > selfScore || (score == selfScore && c < self) {
			rank++
		}
	}
	return rank
}

// EvenShare returns the share of total, the number of instances of a service, for the failure domain at index in
// a list of count domains that has the same order on every node. Shares differ by at most one and add up to
// total.
func EvenShare(total, index, count int) int {
	if count <= 0 {
		return 0
	}
	share := total / count
	if index < total%count {
		share++
	}
	return share
}

// ShardKey returns the key of a shard of a failure domain, to be passed to Rendezvous or Rank to choose the
// node that owns the shard.
func ShardKey(domain string, shard uint32) string {
	return domain + "#" + strconv.FormatUint(uint64(shard), 10)
}
