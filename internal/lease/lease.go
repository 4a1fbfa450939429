// Package lease computes when leases expire, for their holder and for observers, on the monotonic clock.
//
// The holder counts a lease from just before it sends the renewal and subtracts a margin for clock drift.
// Observers count from when they read the renewal and add the margin. The holder therefore always stops
// acting before another node may take over.
package lease

import "time"

// driftDivisor is the divisor of the lease duration that gives the margin for clock drift.
const driftDivisor = 20

// DriftMargin returns the margin for clock drift over a lease: 5 % of its duration.
func DriftMargin(lease time.Duration) time.Duration { return lease / driftDivisor }

// HolderExpiry returns when the holder of a lease must stop acting. sent is the time just before it sent
// the renewal.
func HolderExpiry(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - DriftMargin(lease))
}

// ObserverExpiry returns when another node may take over. seen is when that node first read the renewal.
func ObserverExpiry(seen time.Time, lease time.Duration) time.Time {
	return seen.Add(lease + DriftMargin(lease))
}

// renewalsPerLease is the number of renewals sent within one lease.
const renewalsPerLease = 3

// RenewalPeriod returns the interval between two renewals of a lease.
func RenewalPeriod(lease time.Duration) time.Duration { return lease / renewalsPerLease }
