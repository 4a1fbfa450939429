package cellnode

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/cellmap"
	"cactuswall.example/cactuswall/internal/claim"
	"cactuswall.example/cactuswall/internal/jobrecord"
	"cactuswall.example/cactuswall/internal/store"
)

const (
	// membershipInterval is the interval at which a node checks for which cells it is a candidate.
	membershipInterval = 200 * time.Millisecond
	// remoteCapacityPercent is the share of its processor capacity with which a node is a candidate for a cell of another
	// failure domain. A cut would separate it from the workers of the cell.
	remoteCapacityPercent = 60
	// remoteClaimDelay is the additional delay of such a candidate. It is about the time for which failure domains are
	// cut off, after which the owner goes on.
	remoteClaimDelay = 3 * time.Second
	// standInTime is how long a node remains a candidate for a cell that it has found without an owner.
	standInTime = 20 * time.Second
)

// membership is this node's part in one cell: the node follows the claim on the cell, and may be its owner.
type membership struct {
	node *Node
	cell int
	log  *zap.Logger

	// mu protects view, handingOver, panickedAt and restUntil.
	mu   sync.Mutex
	view *claim.View
	// handingOver is the owner that is being stopped on request of another node, or nil.
	handingOver *owner
	// panickedAt is when an owner on this node last panicked, 0 if none has. Until restUntil this node does not claim the cell.
	panickedAt, restUntil time.Duration

	// sentClaim is nil if the outcome of the latest claim of this node is known. Only the goroutine of claimAndRenew uses it.
	sentClaim *sentClaim

	// owner is nil while this node does not own the cell.
	owner atomic.Pointer[owner]

	// statementWanted has a statement about leases written soon.
	statementWanted chan struct{}
	// registering is set while this process registers as a candidate, and registerAfter when it may do so again, in nanoseconds on
	// the clock of package boottime.
	registering   atomic.Bool
	registerAfter atomic.Int64

	// ended is the latest owner on this node whose run has ended without a panic, nil if there is none.
	ended atomic.Pointer[endedOwner]

	// stop ends the goroutines that follow the claim and claim the cell; nil while there are none. Only the goroutine of
	// manageMemberships uses it.
	stop context.CancelFunc
	// standInUntil is until when the node is a candidate although the cell belongs to another failure domain.
	standInUntil atomic.Int64
}

func (m *membership) claims() store.Partition {
	return store.Partition{Topic: jobrecord.ClaimsTopic, Number: m.cell}
}

func (m *membership) progress() store.Partition {
	return store.Partition{Topic: jobrecord.ProgressTopic, Number: m.cell}
}

// membership returns the node's part in a cell.
func (n *Node) membership(cell int) *membership {
	n.membershipsMu.Lock()
	defer n.membershipsMu.Unlock()
	m := n.memberships[cell]
	if m == nil {
		m = &membership{node: n, cell: cell, log: n.log.With(zap.Int("cell", cell)), view: claim.NewView(n.holder, n.settings.Node, n.settings.Rank),
			statementWanted: make(chan struct{}, 1)}
		m.view.SetCapacity(n.settings.Capacity)
		n.memberships[cell] = m
	}
	return m
}

// owners returns the owners that run on this node, in the order of their cells.
func (n *Node) owners() []*owner {
	n.membershipsMu.Lock()
	defer n.membershipsMu.Unlock()
	var owners []*owner
	for cell := range cellmap.MaxCells {
		if m := n.memberships[cell]; m != nil {
			if o := m.owner.Load(); o != nil {
				owners = append(owners, o)
			}
		}
	}
	return owners
}

// ownerOf returns the owner of a cell if it runs on this node, and otherwise nil.
func (n *Node) ownerOf(cell int) *owner {
	n.membershipsMu.Lock()
	defer n.membershipsMu.Unlock()
	if m := n.memberships[cell]; m != nil {
		return m.owner.Load()
	}
	return nil
}

// manageMemberships follows the claims of the cells for which this node is a candidate.
func (n *Node) manageMemberships(ctx context.Context) error {
	if !n.cells.awaitLoaded(ctx) {
		return ctx.Err()
	}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		for cell := range n.cells.table().Plan().Cells {
			n.adjustMembership(ctx, n.membership(cell))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// adjustMembership starts or ends following the claim of a cell.
func (n *Node) adjustMembership(ctx context.Context, m *membership) {
	candidate := m.isCandidate()
	switch {
	case candidate && m.stop == nil:
		var memberCtx context.Context
		memberCtx, m.stop = context.WithCancel(ctx)
		group, memberCtx := errgroup.WithContext(memberCtx)
		claimAndRenew := func(memberCtx context.Context) error { return m.claimAndRenew(memberCtx, ctx) }
		for work, follow := range map[string]func(context.Context) error{"watch claim": m.watchClaim, "claim": claimAndRenew} {
			follow = n.restarting(work, follow)
			group.Go(func() error { return follow(memberCtx) })
		}
	case !candidate && m.stop != nil:
		m.stop()
		m.stop = nil
		m.markStoreUnreachable()
	}
}

// isCandidate reports whether this node may claim the cell: it owns the cell, is in the failure domain of the cell, or
// stands in because the cell had no owner.
func (m *membership) isCandidate() bool {
	return m.owner.Load() != nil || !m.isRemote() || int64(boottime.Now()) < m.standInUntil.Load()
}

// isRemote reports whether the cell belongs to another failure domain than this node.
func (m *membership) isRemote() bool {
	domain := m.node.cells.table().Plan().Cells[m.cell].FailureDomain
	return domain != "" && domain != m.node.settings.FailureDomain
}

// standIn makes this node a candidate for a cell that has no owner.
func (m *membership) standIn() {
	now := int64(boottime.Now())
	if m.standInUntil.Swap(now+int64(standInTime)) < now && m.isRemote() {
		m.log.Info("candidate for a cell without an owner")
	}
}

// adjustCandidacy passes on to the view with what capacity, and how late, this node claims the cell. A node that owns other
// cells has less capacity for this one. The caller holds mu.
func (m *membership) adjustCandidacy() {
	capacity, delay := m.capacity(), time.Duration(0)
	if m.isRemote() {
		delay = remoteClaimDelay
	}
	m.view.SetCapacity(capacity)
	m.view.SetDelay(delay)
}

// capacity returns the processor capacity that this node has for the cell, in thousandths of a core.
func (m *membership) capacity() int64 {
	capacity := m.node.settings.Capacity
	if m.isRemote() {
		capacity = capacity * remoteCapacityPercent / 100
	}
	for _, o := range m.node.owners() {
		if o.member != m {
			capacity /= 2
		}
	}
	return capacity
}
