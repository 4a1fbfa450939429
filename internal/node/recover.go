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
	// recoveryTimeout bounds the search for a peer that gives a state at the start.
	recoveryTimeout = 3 * time.Second
	// fetchTimeout bounds the fetching of a state from one peer.
	fetchTimeout = time.Second
)

// followDomain takes the state of the domain stream from a sibling, when one has it, and follows the
// stream from there.
func (n *Node) followDomain(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, n.startAddresses(ctx, true), func(ctx context.Context, client peer.Peer) bool {
		state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: n.settings.FailureDomain})
		if err != nil || len(state.GetState()) == 0 {
			return false
		}
		restored, err := ledger.Restore(state.GetState(), time.Now())
		if err != nil {
			return false
		}
		// Once posted, the state is taken even when this call is no longer waited for.
		at = platform.Offset(state.GetAt())
		return n.engine.post(func(now time.Time) { n.engine.startDomainAt(platform.Offset(state.GetAt()), restored, now) })
	})
	return n.follow(ctx, journal.DomainStream(n.settings.FailureDomain), at+1, n.engine.takeDomainEntries)
}

// followManifest takes the newest manifest that a peer has and follows the stream from there.
func (n *Node) followManifest(ctx context.Context) error {
	var at platform.Offset
	n.askPeers(ctx, n.byManifest(ctx, n.startAddresses(ctx, false)), func(ctx context.Context, client peer.Peer) bool {
		at = n.engine.fetchManifest(ctx, client)
		return at > 0
	})
	n.engine.ask(ctx, func(time.Time) {
		n.engine.manifestReplay.Start(at)
		if n.engine.inForce == nil {
			n.engine.logger.Warn("no peer has a manifest; the node waits for the log")
		}
	})
	return n.follow(ctx, journal.ManifestStream, at+1, n.engine.takeManifestEntries)
}

func (n *Node) follow(ctx context.Context, stream string, from platform.Offset, take func([]journal.Delivery, time.Time)) error {
	deliver := func(ds []journal.Delivery) {
		n.engine.ask(n.ctx, func(now time.Time) { take(ds, now) })
	}
	follower := journal.NewFollower(n.options.Log, stream, from, deliver, journal.NewMetrics(n.metrics, stream), n.options.Logger)
	if stream != journal.ManifestStream {
		n.engine.domainFollower.Store(follower)
	}
	return follower.Run(ctx)
}

// askPeers calls ask for one peer after the other until one succeeds or the time is up.
func (n *Node) askPeers(ctx context.Context, addresses []string, ask func(context.Context, peer.Peer) bool) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, address := range addresses {
		callCtx, cancelCall := context.WithTimeout(ctx, fetchTimeout)
		done := ask(callCtx, n.engine.peers(address))
		cancelCall()
		if done || ctx.Err() != nil {
			return
		}
	}
}

// byManifest orders peers by the version that each has in force, the newest first. A peer that is cut from
// the log may be behind the others, so that the first one that answers is not good enough.
func (n *Node) byManifest(ctx context.Context, addresses []string) []string {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var view *peer.View
	if !n.engine.ask(ctx, func(now time.Time) { view = n.engine.view(membership.Audience{}, now) }) {
		return nil
	}
	versions := make([]uint64, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			answer, err := n.engine.peers(address).Exchange(ctx, view)
			if err == nil {
				versions[i] = newestVersion(answer)
			}
		})
	}
	wait.Wait()
	order := make(map[string]uint64, len(addresses))
	for i, address := range addresses {
		order[address] = versions[i]
	}
	sort.SliceStable(addresses, func(a, b int) bool { return order[addresses[a]] > order[addresses[b]] })
	return addresses
}

// startAddresses returns the peers that are known before any exchange: those of the list and the seeds.
func (n *Node) startAddresses(ctx context.Context, siblings bool) []string {
	listCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	vms, err := n.options.List.List(listCtx)
	if err != nil {
		n.options.Logger.Warn("VM list cannot be read at the start", zap.Error(err))
	}
	known := map[string]bool{n.settings.PeerAddress: true}
	var addresses []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, vm := range vms {
		if vm.Kind == platform.EntryVM && (!siblings || vm.FailureDomain == n.settings.FailureDomain) {
			add(vm.Address)
		}
	}
	for _, seed := range n.settings.Seeds {
		add(seed)
	}
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}

// startDomainAt sets the state of the domain stream before its first entry is read.
func (e *engine) startDomainAt(at platform.Offset, l *ledger.Ledger, now time.Time) {
	e.domainReplay.Start(at)
	e.metrics.countRestore("domain", "from_peer")
	e.logger.Info("domain state taken from a peer", zap.Uint64("offset", uint64(at)))
	e.setLedger(l, now)
}

// fetchManifest takes the manifest in force from a peer. It returns the offset up to which the peer has
// read the manifest stream, or 0 when the peer has no manifest.
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
	answered := e.ask(ctx, func(now time.Time) {
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

// repair completes a state that has a gap from a peer.
func (e *engine) repair(ctx context.Context, client peer.Peer) {
	var domain, manifest bool
	answered := e.ask(ctx, func(time.Time) {
		domain = !e.domainReplay.Complete()
		manifest = !e.manifestReplay.Complete()
	})
	if !answered {
		return
	}
	if manifest {
		e.fetchManifest(ctx, client)
	}
	if !domain {
		return
	}
	state, err := client.FetchDomain(ctx, &peer.FetchDomainRequest{FailureDomain: e.settings.FailureDomain})
	if err != nil || len(state.GetState()) == 0 {
		return
	}
	e.post(func(now time.Time) { e.restoreDomain(platform.Offset(state.GetAt()), state.GetState(), now) })
}
