// Package failuredomain maps work onto failure domains and onto the shards within one.
//
// All functions are deterministic, so that every node computes the same result without talking.
package failuredomain

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards of each failure domain. A shard is the unit of ownership: a set of
// workers with the tasks on them, and a set of waiting tasks.
const Shards = 8

// ShardOf returns the shard of a worker, and the first shard of a task, from 0 to Shards-1.
func ShardOf(id string) uint32 {
	return uint32(xxhash.Sum64String(id) % Shards)
}

// Home returns the failure domain of a job by rendezvous hashing, or "" when there is no domain.
func Home(job string, domains []string) string {
	return Rendezvous(job, domains)
}

// Rendezvous returns the candidate with the highest hash for key, or "" when there is none.
// Removing a candidate moves only the keys that it held.
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

// Rank returns how many candidates come before self for key, 0 when self is the rendezvous choice.
func Rank(key string, candidates []string, self string) int {
	own := xxhash.Sum64String(key + "\x00" + self)
	rank := 0
	for _, c := range candidates {
		if c == self {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + c)
		if score > own || (score == own && c < self) {
			rank++
		}
	}
	return rank
}

// Share returns the part of total that falls to the domain at index of count domains. Parts differ by
// one at most and add up to total.
func Share(total, index, count int) int {
	if count <= 0 {
		return 0
	}
	part := total / count
	if index < total%count {
		part++
	}
	return part
}

// ShardKey returns the rendezvous key of a shard of a domain.
func ShardKey(domain string, shard uint32) string {
	return domain + "#" + strconv.FormatUint(uint64(shard), 10)
}
