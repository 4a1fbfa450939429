package claim

import "time"

// DetailsKey is the key of the details of the claim in the partition of its cell.
const DetailsKey = "cell-details"

const (
	// smallerNodeDelay is the extra delay after which a node that is clearly smaller than the largest known one claims.
	// It is longer than the largest difference between the delays of two ranks.
	smallerNodeDelay = time.Second
	// sufficientCapacity is the processor capacity, in thousandths of a core, with which a candidate's own capacity is
	// compared while it knows that of no other node.
	sufficientCapacity = 700
	// requestTransitTime is the time from which a node may request the cell until the owner has read the request.
	requestTransitTime = 500 * time.Millisecond
	// successorHeadStart is the extra delay of the other nodes after a release that names a successor.
	successorHeadStart = 400 * time.Millisecond
)

// Details complement the claim of one epoch. They are stored under DetailsKey, in the same append as the claim and
// before it. Record has no fields for them because earlier builds reject records with additional fields. Capacities are
// in thousandths of a core; 0 means unknown.
type Details struct {
	Epoch int64
	// Capacity is the processor capacity of the owner's node.
	Capacity int64
	// Largest is the largest capacity of a node that the owner knew of. The owner may be a smaller node.
	Largest int64
	// Successor is the node that may claim at once after the release of the claim, or empty.
	Successor string
}

// ClearlyLarger reports whether capacity a is so much larger than b that a should own the cell rather than b. It is
// false if either capacity is unknown.
func ClearlyLarger(a, b int64) bool { return b > 0 && 2*a >= 3*b }

// SetCapacity sets the processor capacity that this node has for the cell, in thousandths of a core. It must be called
// before the view is used, and may be called again.
func (v *View) SetCapacity(capacity int64) { v.capacity = capacity }

// SetDelay sets how much later than other candidates this process claims.
func (v *View) SetDelay(delay time.Duration) { v.delay = delay }

// LargestCapacity returns the largest known capacity of a node for the cell, in thousandths of a core.
func (v *View) LargestCapacity() int64 { return max(v.largest, v.capacity) }

// Sufficient reports whether a node of the given processor capacity, in thousandths of a core, may act as the largest of a
// deployment before others had the time to request the cell. An unknown capacity, 0, is none to wait for either.
func Sufficient(capacity int64) bool { return !ClearlyLarger(sufficientCapacity, capacity) }

// LargerNodesHeard reports whether this process has owned the cell for so long that a clearly larger node would have requested
// it. While one has, a second one that is larger still lets requestInterval pass first.
func (v *View) LargerNodesHeard(now time.Duration) bool {
	wait := requestAfter + smallerNodeDelay + requestTransitTime
	if v.request.Epoch == v.latest.Epoch {
		wait += requestInterval
	}
	return v.owns && now >= v.epochReadAt+wait
}

// Details returns the details of the latest claim. They are zero if its owner has not stored any.
func (v *View) Details() Details {
	if !v.hasLatest || v.details.Epoch != v.latest.Epoch {
		return Details{}
	}
	return v.details
}

// NextDetails returns the details of the record that NextClaim returns.
func (v *View) NextDetails() Details {
	return Details{Epoch: v.latest.Epoch + 1, Capacity: v.capacity, Largest: max(v.largest, v.capacity)}
}

// ApplyDetails processes details that have been read, or that the store has accepted from this process.
func (v *View) ApplyDetails(d Details) {
	if d.Epoch < v.details.Epoch {
		return
	}
	v.details = d
	v.largest = max(v.largest, d.Capacity, d.Largest)
}

// ShouldRelease reports whether this process should release the latest claim instead of claiming the cell itself. The
// claim is one that this process abandoned or that an earlier process of this node held, so that nobody acts under it,
// and this node is clearly smaller than the largest known one. After the release, each candidate claims after its own
// delay.
func (v *View) ShouldRelease() bool {
	return !v.owns && v.reachable && v.hasLatest && !v.latest.Released && v.capacityDelay() > 0 &&
		(v.abandonedOwnClaim() || v.heldByPreviousProcess())
}

// heldByPreviousProcess reports whether the latest claim belongs to an earlier process of this node. A node runs a
// single process, so that process has exited.
func (v *View) heldByPreviousProcess() bool {
	return v.latest.Node == v.node && v.latest.Holder != v.holder
}

// claimDelay returns the delay between the moment at which candidates may claim and the claim of this process.
func (v *View) claimDelay() time.Duration {
	return time.Duration(v.rank)*delayPerRank + v.capacityDelay() + v.delay
}

// capacityDelay returns the part of claimDelay that depends on the processor capacity of this node.
func (v *View) capacityDelay() time.Duration {
	largest := v.largest
	if largest == 0 {
		largest = sufficientCapacity
	}
	if ClearlyLarger(largest, v.capacity) {
		return smallerNodeDelay
	}
	return 0
}

// releasedDelay returns the delay between reading the release of the latest claim and the claim of this process.
func (v *View) releasedDelay() time.Duration {
	switch v.Details().Successor {
	case "":
		return v.claimDelay()
	case v.node:
		return 0
	}
	return v.claimDelay() + successorHeadStart
}
