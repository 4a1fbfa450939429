package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// restartDelay is how long a process is down.
	restartDelay = 700 * time.Millisecond
	// maxWorkersDown is the longest time for which the processes of workers are down.
	maxWorkersDown = 4 * restartDelay
	// maxStoreSuspension is the longest time for which the store is suspended.
	maxStoreSuspension = 3 * time.Second
	// storeRecovery is how long after a fault of the store its clients may still wait for retries.
	storeRecovery = time.Second
	// linkDelay is the delay of a slow connection in each direction: most calls time out.
	linkDelay = 800 * time.Millisecond
	// drainDuration is how long a draining worker stays.
	drainDuration = standin.DrainTime + 4*time.Second
	// postTimeout is the timeout of an order to a stand-in.
	postTimeout = 5 * time.Second
	// storeSubject is the store as a subject of disturbances.
	storeSubject = "store"
	// lossKind is played only if it is named, since it checks what happens while nothing else is disturbed.
	lossKind = "lose worker and owner"
	// lossDuration is how long a worker is lost: longer than what is checked of its tasks.
	lossDuration = lossLimit + 3*time.Second
)

// faultKind is a kind of fault. apply returns when the fault is over.
type faultKind struct {
	name  string
	apply func(*soak, Fault)
}

// faultKinds are all kinds. Their order decides what a seed plays.
var faultKinds = []faultKind{
	{"kill node", func(s *soak, f Fault) { s.takeDown(s.node(f), (*process).kill) }},
	{"stop node", func(s *soak, f Fault) { s.takeDown(s.node(f), (*process).terminate) }},
	{"suspend node", func(s *soak, f Fault) { s.suspendNode(s.node(f), f.Duration) }},
	{"kill owner", func(s *soak, f Fault) { s.takeDown(s.ownerNode(f), (*process).kill) }},
	{"suspend owner", func(s *soak, f Fault) { s.suspendNode(s.ownerNode(f), f.Duration) }},
	{"stop owner", func(s *soak, f Fault) { s.takeDown(s.ownerNode(f), (*process).terminate) }},
	{"kill all nodes", func(s *soak, _ Fault) { s.killAllNodes() }},
	{"reload node", func(s *soak, f Fault) { s.reload(s.node(f)) }},
	{"cut node from store", func(s *soak, f Fault) { s.disturbStoreLink(f, linkState{holdRequests: true, holdAnswers: true}) }},
	{"silence node's store connections", func(s *soak, f Fault) { s.breakStoreLink(f, (*proxy).silence) }},
	{"lose store's answers to node", func(s *soak, f Fault) { s.disturbStoreLink(f, linkState{holdAnswers: true}) }},
	{"delay node's store calls", func(s *soak, f Fault) { s.disturbStoreLink(f, linkState{delay: linkDelay}) }},
	{"reset node's store connections", func(s *soak, f Fault) { s.breakStoreLink(f, (*proxy).reset) }},
	{"store down", func(s *soak, f Fault) { s.disturbStore(f, standin.StoreFaults{Down: true}) }},
	{"store slow", func(s *soak, f Fault) { s.disturbStore(f, standin.StoreFaults{DelayMS: 300}) }},
	{"store loses answers", func(s *soak, f Fault) { s.disturbStore(f, standin.StoreFaults{LostAnswers: 0.3}) }},
	{"store late", func(s *soak, f Fault) { s.disturbStore(f, standin.StoreFaults{LateAppends: 0.1, LateMS: 1500}) }},
	{"store turns nodes away", func(s *soak, f Fault) { s.disturbStore(f, standin.StoreFaults{TurnedAway: s.halfOfTheNodes(f)}) }},
	{"suspend store", func(s *soak, f Fault) { s.suspendStore(f) }},
	{"suspend workers", func(s *soak, f Fault) { s.disturbRack(f, s.suspendRack) }},
	{"kill workers", func(s *soak, f Fault) { s.disturbRack(f, s.killRack) }},
	{"restart worker", func(s *soak, f Fault) { s.orderWorker(f, "restart", f.Duration) }},
	{"sick worker", func(s *soak, f Fault) { s.orderWorker(f, "sick", f.Duration) }},
	{"drain worker", func(s *soak, f Fault) { s.orderWorker(f, "drain", drainDuration) }},
	{"cut worker", func(s *soak, f Fault) { s.disturbWorkerLink(f, linkState{holdRequests: true, holdAnswers: true}) }},
	{"lose worker's answers", func(s *soak, f Fault) { s.disturbWorkerLink(f, linkState{holdAnswers: true}) }},
	{"delay worker", func(s *soak, f Fault) { s.disturbWorkerLink(f, linkState{delay: linkDelay}) }},
	{"reset worker", func(s *soak, f Fault) { s.breakWorkerLink(f, (*proxy).reset) }},
	{"silence worker", func(s *soak, f Fault) { s.breakWorkerLink(f, (*proxy).silence) }},
	{"change queues", func(s *soak, f Fault) { s.operator.change(f.Target) }},
	{"abusive callers", func(s *soak, f Fault) { s.abuseNode(s.node(f), f) }},
	{lossKind, func(s *soak, f Fault) { s.loseWorkerAndOwner(f) }},
}

// Kinds returns the names of the kinds of faults that are played if none are named.
func Kinds() (names []string) {
	for _, kind := range faultKinds {
		if kind.name != lossKind {
			names = append(names, kind.name)
		}
	}
	return names
}

// apply carries out a fault and returns when it is over.
func (s *soak) apply(f Fault) {
	s.stats.note(f)
	i := slices.IndexFunc(faultKinds, func(kind faultKind) bool { return kind.name == f.Kind })
	faultKinds[i].apply(s, f)
}

func (s *soak) node(f Fault) *soakNode { return s.nodes[f.Target%len(s.nodes)] }

// ownerNode returns the owner of a cell, or any node while no cell has had an owner.
func (s *soak) ownerNode(f Fault) *soakNode {
	var owners []*soakNode
	s.owners.Range(func(_, n any) bool {
		owners = append(owners, n.(*soakNode))
		return true
	})
	if len(owners) == 0 {
		return s.node(f)
	}
	slices.SortFunc(owners, func(a, b *soakNode) int { return strings.Compare(a.settings.Name, b.settings.Name) })
	return owners[f.Target%len(owners)]
}

// takeDown ends a node's process and starts the next one. Callers go on using the process until it has gone.
func (s *soak) takeDown(n *soakNode, end func(*process)) {
	p := n.current()
	if p == nil {
		return
	}
	defer s.disturbing(n.settings.Name)()
	end(p)
	s.awaitStop(p)
	if !n.forget(p) {
		return // another fault restarts it
	}
	time.Sleep(restartDelay)
	if err := s.startNode(n); err != nil {
		s.oracle.report(promiseProcess, boottime.Now(), "%s did not start: %v", n.settings.Name, err)
	}
}

func (s *soak) killAllNodes() {
	var all sync.WaitGroup
	for _, n := range s.nodes {
		all.Go(func() { s.takeDown(n, (*process).kill) })
	}
	all.Wait()
}

func (s *soak) suspendNode(n *soakNode, duration time.Duration) {
	if p := n.current(); p != nil {
		defer s.disturbing(n.settings.Name)()
		p.suspend(duration)
	}
}

func (s *soak) reload(n *soakNode) {
	if p := n.current(); p != nil {
		p.signal(syscall.SIGHUP)
	}
}

// disturbing notes that a subject is disturbed until the returned function is called.
func (s *soak) disturbing(subject string) (end func()) {
	began := boottime.Now()
	disturbance := s.oracle.disturb(subject, began, endlessTime)
	return func() { s.oracle.endDisturbance(disturbance, boottime.Now()) }
}

func (s *soak) disturbStore(f Fault, faults standin.StoreFaults) {
	defer s.disturbing(storeSubject)()
	s.post(s.storeAddress(), faults)
	time.Sleep(f.Duration)
	s.post(s.storeAddress(), standin.StoreFaults{})
	time.Sleep(storeRecovery)
}

func (s *soak) suspendStore(f Fault) {
	defer s.disturbing(storeSubject)()
	s.store.suspend(min(f.Duration, maxStoreSuspension))
	time.Sleep(storeRecovery)
}

func (s *soak) halfOfTheNodes(f Fault) (addresses []string) {
	for i, n := range s.nodes {
		if (i+f.Target)%2 == 0 {
			addresses = append(addresses, n.settings.IP)
		}
	}
	return addresses
}

// disturbRack disturbs the process of a rack's workers. Only one fault at a time does, since a suspended process cannot be told
// from one that was killed.
func (s *soak) disturbRack(f Fault, do func(*rack, *process, time.Duration)) {
	r := s.racks[f.Target%len(s.racks)]
	r.mu.Lock()
	p, busy := r.process, r.disturbed
	r.disturbed = true
	r.mu.Unlock()
	if busy {
		return
	}
	for _, w := range r.spec.Workers {
		defer s.disturbing(w.ID)()
	}
	do(r, p, f.Duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = false
}

func (s *soak) suspendRack(_ *rack, p *process, duration time.Duration) { p.suspend(duration) }

func (s *soak) killRack(r *rack, p *process, duration time.Duration) {
	p.kill()
	s.workersGone(r, p)
	time.Sleep(min(duration, maxWorkersDown))
	if err := s.startRack(r); err != nil {
		s.oracle.report(promiseProcess, boottime.Now(), "%s did not start: %v", p.name, err)
	}
}

// worker returns a worker and its rack.
func (s *soak) worker(f Fault) (*rack, int) {
	r := s.racks[f.Target%len(s.racks)]
	return r, f.Target / len(s.racks) % len(r.spec.Workers)
}

// orderWorker has a worker misbehave by itself.
func (s *soak) orderWorker(f Fault, kind string, duration time.Duration) {
	r, i := s.worker(f)
	s.post(r.spec.Listen, standin.WorkerFault{Worker: r.spec.Workers[i].ID, Kind: kind, DurationMS: int(duration.Milliseconds())})
}

func (s *soak) disturbStoreLink(f Fault, state linkState) {
	n := s.node(f)
	s.disturbLink(n.link, n.settings.Name, f.Duration, state)
}

func (s *soak) breakStoreLink(f Fault, disrupt func(*proxy)) {
	n := s.node(f)
	s.breakLink(n.link, n.settings.Name, f.Duration, disrupt)
}

func (s *soak) disturbWorkerLink(f Fault, state linkState) {
	r, i := s.worker(f)
	s.disturbLink(r.proxies[i], r.spec.Workers[i].ID, f.Duration, state)
}

func (s *soak) breakWorkerLink(f Fault, disrupt func(*proxy)) {
	r, i := s.worker(f)
	s.breakLink(r.proxies[i], r.spec.Workers[i].ID, f.Duration, disrupt)
}

// disturbLink has a proxy treat all connections in some way for a while.
func (s *soak) disturbLink(p *proxy, subject string, duration time.Duration, state linkState) {
	defer s.disturbing(subject)()
	p.set(state)
	time.Sleep(duration)
	p.set(linkState{})
}

// breakLink resets or silences the open connections of a proxy. Their ends may take the duration to notice.
func (s *soak) breakLink(p *proxy, subject string, duration time.Duration, disrupt func(*proxy)) {
	defer s.disturbing(subject)()
	disrupt(p)
	time.Sleep(duration)
}

// post sends an order of the soak to a stand-in. A stand-in that is down does not get it.
func (s *soak) post(address string, order any) {
	body, _ := json.Marshal(order) // cannot fail for these types
	client := http.Client{Timeout: postTimeout}
	resp, err := client.Post("http://"+address+standin.FaultsPath, "application/json", bytes.NewReader(body))
	if err != nil {
		s.stats.count("orders lost")
		return
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = fmt.Fprintf(s.options.Progress, "a stand-in refused an order: %d\n", resp.StatusCode)
	}
}
