package cellnode

import (
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// lookupInterval is the minimum time between two look-ups of the owner of one cell.
const lookupInterval = 250 * time.Millisecond

// directory caches the addresses of the owners of cells whose claims this node does not follow.
type directory struct {
	mu      sync.Mutex
	entries map[int]*directoryEntry
}

type directoryEntry struct {
	mu       sync.Mutex // held during a look-up
	address  string     // empty: no owner is known
	lookedUp time.Time
	failed   bool // the owner did not answer, so that it has to be looked up again
}

func newDirectory() *directory { return &directory{entries: make(map[int]*directoryEntry)} }

func (d *directory) entry(cell int) *directoryEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.entries[cell]
	if entry == nil {
		entry = &directoryEntry{}
		d.entries[cell] = entry
	}
	return entry
}

// ownerAddress returns the peer address of the owner of a cell, or an empty string if no other node is known to own it.
func (n *Node) ownerAddress(ctx context.Context, cell int) string {
	m := n.membership(cell)
	if m.follows() {
		return m.ownerAddress()
	}
	entry := n.directory.entry(cell)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if (entry.address == "" || entry.failed) && time.Since(entry.lookedUp) >= lookupInterval {
		entry.lookedUp = time.Now()
		address, answered := n.lookUpOwner(ctx, cell)
		switch {
		case answered:
			entry.address, entry.failed = address, false
		case entry.failed:
			entry.address = ""
		case entry.address == "":
			entry.address = m.ownerAddress() // by the latest claim that this node has read
		}
	}
	return entry.address
}

// ownerFailed records that the owner of a cell did not answer as such, so that it is looked up again.
func (n *Node) ownerFailed(cell int) {
	entry := n.directory.entry(cell)
	entry.mu.Lock()
	defer entry.mu.Unlock()
	entry.failed = true
}

// lookUpOwner reads the claim on a cell and returns the address of the owner, or an empty string if there is none. answered
// is false if the store did not answer.
func (n *Node) lookUpOwner(ctx context.Context, cell int) (address string, answered bool) {
	callCtx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	listing, err := n.platform.Store.List(callCtx, store.Partition{Topic: jobrecord.ClaimsTopic, Number: cell}, "")
	if err != nil {
		n.recordStoreFailure("list claims", err)
		return "", false
	}
	n.recordStoreSuccess()
	for i := range listing.Records {
		var r claim.Record
		if listing.Records[i].Key == claim.Key && recordcodec.Decode(listing.Records[i].Value, &r) == nil && !r.Released && r.Holder != n.holder {
			return r.Address, true
		}
	}
	return "", true
}

// follows reports whether this node has read the claim of the cell and reads on.
func (m *membership) follows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Reachable()
}

// ownerAddress returns the peer address of the owner, or an empty string if no other node is known to own the cell.
func (m *membership) ownerAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, ok := m.view.Latest()
	if !ok || latest.Released || latest.Holder == m.node.holder {
		return ""
	}
	return latest.Address
}
