package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// probeInterval is the interval at which each node is asked about each queue.
	probeInterval = 700 * time.Millisecond
	// extraQueueShare is the share of the jobs that go to a queue that the operator has added.
	extraQueueShare = 0.15
	// configDelay is how long after a change was stored nodes that were not disturbed may act by the former configuration.
	configDelay    = standin.ConfigApply + time.Second
	publishTimeout = 2 * time.Second
)

// operator adds and removes queues, and checks what nodes say of them.
type operator struct {
	soak   *soak
	writer standin.StoreWriter

	mu      sync.Mutex
	version int64
	queues  []string // of the newest configuration
	// added and removed are when the store had the change.
	added, removed map[string]time.Duration
	// mayBeRemoved are queues that a publication without an answer removes: the store may have executed it.
	mayBeRemoved map[string]bool
	// seen are the processes that have had a queue in force, since they said so.
	seen map[queueOfProcess]bool
}

type queueOfProcess struct {
	process *process
	queue   string
}

func newOperator(s *soak) *operator {
	return &operator{soak: s, writer: standin.StoreWriter{Address: s.storeAddress(), Client: http.Client{Timeout: publishTimeout}},
		added: make(map[string]time.Duration), removed: make(map[string]time.Duration), mayBeRemoved: make(map[string]bool), seen: make(map[queueOfProcess]bool)}
}

// publish stores a configuration with the given queues.
func (o *operator) publish(queues []string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.writer.WriteConfig(standin.Config(o.version+1, queues, service)); err != nil {
		for _, q := range o.queues {
			o.mayBeRemoved[q] = o.mayBeRemoved[q] || !slices.Contains(queues, q)
		}
		return err
	}
	now := boottime.Now()
	for _, q := range queues {
		if !slices.Contains(o.queues, q) {
			o.added[q] = now
		}
	}
	for _, q := range o.queues {
		if !slices.Contains(queues, q) {
			o.removed[q] = now
		}
	}
	o.version, o.queues = o.version+1, queues
	return nil
}

// change adds a queue or removes one. A queue that was removed never comes back.
func (o *operator) change(choice int) {
	o.mu.Lock()
	queues := slices.Clone(o.queues)
	version := o.version
	o.mu.Unlock()
	if len(queues) > 1 && choice%2 == 0 {
		queues = slices.Delete(queues, 1, 2)
	} else {
		queues = append(queues, fmt.Sprintf("extra%d", version))
	}
	for range 20 { // while the store is disturbed
		if o.publish(queues) == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// pickQueue returns a queue of the newest configuration.
func (o *operator) pickQueue(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queues) > 1 && random.Float64() < extraQueueShare {
		return o.queues[len(o.queues)-1]
	}
	return mainQueue
}

// probe asks all nodes about all queues, again and again.
func (o *operator) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range o.soak.nodes {
			go o.probeNode(n)
		}
		sleep(ctx, probeInterval)
	}
}

func (o *operator) probeNode(n *soakNode) {
	p := n.current()
	if p == nil {
		return
	}
	o.mu.Lock()
	queues := slices.Clone(o.queues)
	for q := range o.removed {
		queues = append(queues, q)
	}
	o.mu.Unlock()
	for _, q := range queues {
		o.mu.Lock()
		removedAt, removed := o.removed[q]
		addedAt := o.added[q]
		o.mu.Unlock()
		sentAt := boottime.Now()
		a := o.soak.callers.send(n, http.MethodGet, q, "", nil)
		if n.current() == p {
			o.check(n, p, q, a.status, sentAt, addedAt, removedAt, removed)
		}
	}
}

// check compares an answer with the configurations that were stored before its request.
func (o *operator) check(n *soakNode, p *process, queue string, status int, sentAt, addedAt, removedAt time.Duration, removed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	name, key := n.settings.Name, queueOfProcess{p, queue}
	oracle := o.soak.oracle
	switch {
	case status == http.StatusOK && removed && p.startedAt > removedAt:
		oracle.report(promiseConfig, sentAt, "%s was started %v after queue %s was removed, and has it", name, p.startedAt-removedAt, queue)
	case status == http.StatusOK && removed && o.settled(n, p, removedAt, sentAt):
		oracle.report(promiseConfig, sentAt, "%s has queue %s, which was removed %v before", name, queue, sentAt-removedAt)
	case status == http.StatusOK:
		o.seen[key] = true
	case status == http.StatusNotFound && !removed && o.seen[key] && o.removed[queue] == 0 && !o.mayBeRemoved[queue]:
		oracle.report(promiseConfig, sentAt, "%s had queue %s and has it no more, although it was not removed", name, queue)
	case status == http.StatusNotFound && !removed && o.removed[queue] == 0 && o.settled(n, p, addedAt, sentAt):
		oracle.report(promiseConfig, sentAt, "%s does not have queue %s, which was added %v before", name, queue, sentAt-addedAt)
	}
}

// settled reports whether a node must have a change in force: it and the store were not disturbed since the change and for the time that
// a node takes to connect again.
func (o *operator) settled(n *soakNode, p *process, changedAt, sentAt time.Duration) bool {
	from := max(changedAt, p.startedAt)
	quietSince := sentAt - standin.ReconnectTime - configDelay
	return sentAt > from+configDelay && !p.suspendedSince(quietSince) && p.startedAt < quietSince && !o.soak.oracle.isDisturbed(n.settings.Name, quietSince, sentAt) &&
		!o.soak.oracle.isDisturbed(storeSubject, quietSince, sentAt)
}
