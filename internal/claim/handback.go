package claim

import (
	"time"

	"cactuswall.example/cactuswall/internal/store"
)

// RequestKey is the key of the latest request for the cell in the partition of its cell.
const RequestKey = "cell-request"

const (
	// requestAfter is how long a node must have been in touch with the store, and the same owner must have held the
	// claim, before the node requests the cell.
	requestAfter = 3 * time.Second
	// requestInterval is how long a node waits for the effect of a request, its own or another node's, before it sends
	// the next one.
	requestInterval = 3 * time.Second
	// maxRenewalAge is the age of the newest renewal above which no request is sent, because the owner may be gone.
	maxRenewalAge = 2 * RenewInterval
)

// Request asks the owner under an epoch to hand over the cell to a clearly larger node. It is stored under RequestKey.
type Request struct {
	Epoch int64
	Node  string
	// Capacity is the processor capacity of Node in thousandths of a core.
	Capacity int64
}

// ShouldRequest reports whether this process should send the request that NextRequest returns.
func (v *View) ShouldRequest(now time.Duration) bool {
	if v.owns || !v.reachable || !v.hasLatest || v.latest.Released || now-v.latestReadAt > maxRenewalAge ||
		!ClearlyLarger(v.capacity, v.Details().Capacity) {
		return false
	}
	stagger := time.Duration(v.rank) * delayPerRank
	if v.request.Epoch == v.latest.Epoch && now < v.requestReadAt+requestInterval+stagger {
		return false
	}
	return now >= max(v.reachableSince, v.epochReadAt)+requestAfter+stagger
}

// NextRequest returns a request of this process to the owner under the latest epoch.
func (v *View) NextRequest() Request {
	return Request{Epoch: v.latest.Epoch, Node: v.node, Capacity: v.capacity}
}

// RequestAccepted records that the store has accepted a request of this process.
func (v *View) RequestAccepted(r Request, a store.AppendResult, now time.Duration) {
	v.applyRequest(r, now)
	v.readEnd = max(v.readEnd, a.End)
}

// applyRequest processes a request that has been read or accepted.
func (v *View) applyRequest(r Request, now time.Duration) {
	v.request, v.requestReadAt, v.requestTaken = r, now, false
	v.largest = max(v.largest, r.Capacity)
}

// TakeRequest returns the latest request if it is addressed to this process, and reports whether there is one. Each
// request is returned once.
func (v *View) TakeRequest() (r Request, ok bool) {
	if !v.owns || v.requestTaken || v.request.Epoch != v.latest.Epoch {
		return Request{}, false
	}
	v.requestTaken = true
	return v.request, true
}

// ReleaseDetails returns the details for a release of the claim of this process that names a successor.
func (v *View) ReleaseDetails(successor string) Details {
	return Details{Epoch: v.latest.Epoch, Capacity: v.capacity, Largest: max(v.largest, v.capacity), Successor: successor}
}
