package node

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/config"
	"cactuswall.example/cactuswall/internal/journal"
	"cactuswall.example/cactuswall/internal/ledger"
	"cactuswall.example/cactuswall/internal/membership"
	"cactuswall.example/cactuswall/internal/peer"
	"cactuswall.example/cactuswall/internal/platform"
)

const (
	// recoveryTimeout is how long a starting node asks its peers for the state that they have.
	recoveryTimeout = 3 * time.Second
	// fetchTimeout is the limit for fetching the state of one peer.
	fetchTimeout = time.Second
)

// followDomain fetches the state of the domain stream from another node of this failure domain, if one has
// it, and then reads the stream from the first entry that this state does not include.
func (n *Node) followDomain(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, n.initialPeerAddresses(ctx, true), func(ctx context.Context, client peer.Peer) bool {
		state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: n.settings.FailureDomain})
		if err != nil || len(state.GetState()) == 0 {
			return false
		}
		restored, err := ledger.Restore(state.GetState(), time.Now())
		if err != nil {
			return false
		}
		// Once posted, the state is installed even if this call has timed out.
		at = platform.Offset(state.GetAt())
		return n.engine.post(func(now time.Time) { n.engine.installDomainState(platform.Offset(state.GetAt()), restored, now) })
	})
	return n.followStream(ctx, journal.DomainStream(n.settings.FailureDomain), at+1, n.engine.handleDomainEntries)
}

// followManifest fetches the newest manifest that a peer has and then reads the manifest stream from the first
// entry that this peer had not read.
func (n *Node) followManifest(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, n.sortByManifestVersion(ctx, n.initialPeerAddresses(ctx, false)), func(ctx context.Context, client peer.Peer) bool {
		at = n.engine.fetchManifest(ctx, client)
		return at > 0
	})
	n.engine.runAndWait(ctx, func(time.Time) {
		n.engine.manifestReplay.SetApplied(at)
		if n.engine.activeManifest == nil {
			n.engine.logger.Warn("no peer has a manifest; the node waits until it has read the log")
		}
	})
	return n.followStream(ctx, journal.ManifestStream, at+1, n.engine.handleManifestEntries)
}

// followStream reads a stream from an offset on and passes its entries to apply in the engine's goroutine.
func (n *Node) followStream(ctx context.Context, stream string, from platform.Offset, apply func([]journal.Delivery, time.Time)) error {
	deliver := func(ds []journal.Delivery) {
		n.engine.runAndWait(n.ctx, func(now time.Time) { apply(ds, now) })
	}
	follower := journal.NewFollower(n.options.Log, stream, from, deliver, journal.NewMetrics(n.metrics, stream), n.options.Logger)
	if stream != journal.ManifestStream {
		n.engine.domainFollower.Store(follower)
	}
	return follower.Run(ctx)
}

// askPeers calls fetch for one peer after the other until one succeeds or recoveryTimeout has passed.
func (n *Node) askPeers(ctx context.Context, addresses []string, fetch func(context.Context, peer.Peer) bool) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, address := range addresses {
		callCtx, cancelCall := context.WithTimeout(ctx, fetchTimeout)
		done := fetch(callCtx, n.engine.peers(address))
		cancelCall()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// sortByManifestVersion sorts peers by the active manifest version of each, newest first. A peer that
// cannot reach the log may be behind the others, so the first peer that answers is not good enough.
func (n *Node) sortByManifestVersion(ctx context.Context, addresses []string) []string {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var view *peer.View
	if !n.engine.runAndWait(ctx, func(now time.Time) { view = n.engine.view(membership.Recipient{}, now) }) {
		return nil
	}
	versions := make([]uint64, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			answer, err := n.engine.peers(address).Exchange(ctx, view)
			if err == nil {
				versions[i] = newestVersion(answer)
			}
		})
	}
	wg.Wait()
	versionOf := make(map[string]uint64, len(addresses))
	for i, address := range addresses {
		versionOf[address] = versions[i]
	}
	sort.SliceStable(addresses, func(a, b int) bool { return versionOf[addresses[a]] > versionOf[addresses[b]] })
	return addresses
}

// initialPeerAddresses returns, in random order, the peers that are known before any exchange: the entry
// VMs on the VM list and the seeds. If sameDomainOnly is set, the entry VMs of other failure domains are left
// out; the seeds are always included.
func (n *Node) initialPeerAddresses(ctx context.Context, sameDomainOnly bool) []string {
	listCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	vms, err := n.options.List.List(listCtx)
	if err != nil {
		n.options.Logger.Warn("failed to read VM list at startup", zap.Error(err))
	}
	seen := map[string]bool{n.settings.PeerAddress: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, vm := range vms {
		if vm.Kind == platform.EntryVM && (!sameDomainOnly || vm.FailureDomain == n.settings.FailureDomain) {
			add(vm.Address)
		}
	}
	for _, seed := range n.settings.Seeds {
		add(seed)
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}

// installDomainState installs a state of the domain stream before the first entry of the stream is read.
func (e *engine) installDomainState(at platform.Offset, l *ledger.Ledger, now time.Time) {
	e.domainReplay.SetApplied(at)
	e.metrics.countSnapshot("domain", "from_peer")
	e.logger.Info("domain state fetched from a peer", zap.Uint64("offset", uint64(at)))
	e.setLedger(l, now)
}

// fetchManifest fetches and applies the active manifest at a peer. It returns the offset up to which the
// peer has read the manifest stream. It returns 0 if no manifest could be fetched, or if this node has a
// different version in force afterwards.
func (e *engine) fetchManifest(ctx context.Context, client peer.Peer) platform.Offset {
	answer, err := client.FetchManifest(ctx, &peer.FetchManifestRequest{})
	if err != nil || len(answer.GetSnapshot()) == 0 {
		return 0
	}
	snapshot, err := config.DecodeSnapshot(answer.GetSnapshot())
	if err != nil {
		return 0
	}
	var readTo platform.Offset
	answered := e.runAndWait(ctx, func(now time.Time) {
		e.restoreManifest(snapshot, now)
		e.manifestChanged(now)
		if e.config.Version() == config.Version(snapshot.GetVersion()) {
			readTo = max(platform.Offset(snapshot.GetReadTo()), e.config.Version())
		}
	})
	if !answered {
		return 0
	}
	return readTo
}

// fetchMissingState fetches the domain state and the manifest from a peer if this node's copy is incomplete.
func (e *engine) fetchMissingState(ctx context.Context, client peer.Peer) {
	var domainIncomplete, manifestIncomplete bool
	answered := e.runAndWait(ctx, func(time.Time) {
		domainIncomplete = !e.domainReplay.Complete()
		manifestIncomplete = !e.manifestReplay.Complete()
	})
	if !answered {
		return
	}
	if manifestIncomplete {
		e.fetchManifest(ctx, client)
	}
	if !domainIncomplete {
		return
	}
	state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: e.settings.FailureDomain})
	if err != nil || len(state.GetState()) == 0 {
		return
	}
	e.post(func(now time.Time) { e.restoreDomain(platform.Offset(state.GetAt()), state.GetState(), now) })
}
