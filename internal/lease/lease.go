// Package lease does the arithmetic of leases on the monotonic clock.
//
// A holder counts from before it sent the renewal; everybody else counts from when they read it and
// adds a margin for clock drift. So the holder always stops before anybody else may take over.
package lease

import "time"

// driftDivisor gives the margin for clock drift as a part of the lease.
const driftDivisor = 20

// Margin returns the allowance for clock drift over a lease.
func Margin(lease time.Duration) time.Duration { return lease / driftDivisor }

// HolderEnd returns when the holder of a lease must stop acting. sent is when it began to send the renewal.
func HolderEnd(sent time.Time, lease time.Duration) time.Time {
	return sent.Add(lease - Margin(lease))
}

// ObserverEnd returns when others may act. seen is when they first read the renewal.
func ObserverEnd(seen time.Time, lease time.Duration) time.Time {
	return seen.Add(lease + Margin(lease))
}

// renewalsPerLease is how many renewals fall into one lease.
const renewalsPerLease = 3

// RenewalPeriod returns how often a lease is to be renewed.
func RenewalPeriod(lease time.Duration) time.Duration { return lease / renewalsPerLease }
