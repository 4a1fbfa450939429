package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// probeInterval is the interval at which each node is asked about each queue.
	probeInterval = 700 * time.Millisecond
	// storeReadInterval is the interval at which the store is asked for a configuration whose publication was not answered.
	storeReadInterval = 100 * time.Millisecond
	// extraQueueShare is the share of the jobs that go to a queue that the operator has added.
	extraQueueShare = 0.15
	publishTimeout  = 2 * time.Second
	// lateAppendLimit is how long after the end of a publication without an answer the store may still execute it.
	lateAppendLimit = 2 * time.Second
	// publishAttempts is how often the operator tries to publish a configuration while the store is disturbed.
	publishAttempts = 20
)

// operator adds and removes queues, and checks what nodes say of them.
type operator struct {
	soak    *soak
	writer  standin.StoreWriter
	reader  *platform.Store
	configs *configHistory
	// changing is held while a configuration is published.
	changing sync.Mutex
}

func newOperator(s *soak, storeAddress string) *operator {
	return &operator{soak: s, writer: standin.StoreWriter{Address: storeAddress, Client: http.Client{Timeout: publishTimeout}},
		reader: platform.NewStore(storeAddress), configs: newConfigHistory()}
}

// publish stores a version of the configuration, unless the store is known to have it.
func (o *operator) publish(version int, queues []string) error {
	if !o.configs.begin(version, queues) {
		return nil
	}
	err := o.writer.WriteConfig(standin.Config(int64(version), queues, service))
	switch {
	case err == nil:
		o.configs.know(version, boottime.Now())
	case errors.Is(err, standin.ErrRefused):
		o.configs.refuse()
	default:
		o.configs.noAnswer()
	}
	return err
}

// change adds a queue, removes one, or does both. A queue that was removed never comes back. An open publication is
// repeated instead.
func (o *operator) change(choice int) {
	o.changing.Lock()
	defer o.changing.Unlock()
	queues, version, open := o.configs.latest()
	removes := !open && len(queues) > 1 && choice%2 == 0
	if removes {
		queues = slices.Delete(queues, 1, 2)
	}
	if !open && (!removes || choice%4 == 0) {
		queues = append(queues, fmt.Sprintf("extra%d", version))
	}
	for attempt := range publishAttempts {
		if o.publish(version, queues) == nil {
			if open || attempt > 0 {
				time.Sleep(lateAppendLimit) // an earlier attempt must not replace the next configuration
			}
			return
		}
		if _, _, open := o.configs.latest(); open {
			o.soak.stats.count("publications open")
		}
		time.Sleep(time.Second)
	}
}

// readStore asks the store for a configuration whose publication was not answered, until ctx is done.
func (o *operator) readStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, _, open := o.configs.latest(); open {
			o.readConfig(ctx)
		}
		sleep(ctx, storeReadInterval)
	}
}

// readConfig notes the version that the store has, if it answers.
func (o *operator) readConfig(ctx context.Context) {
	page, err := o.reader.List(ctx, platform.OperatorTopic, "")
	if err != nil {
		return // it is asked again
	}
	for _, r := range page.Records {
		if r.Key != platform.ConfigKey {
			continue
		}
		if config, err := platform.DecodeConfig(r.Value); err == nil {
			o.configs.know(int(config.Version), boottime.Now())
		}
	}
}

// pickQueue returns a queue of the newest configuration.
func (o *operator) pickQueue(random *rand.Rand) string {
	queues, _, open := o.configs.latest()
	if !open && len(queues) > 1 && random.Float64() < extraQueueShare {
		return queues[len(queues)-1]
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
	for _, q := range o.configs.queues() {
		sentAt := boottime.Now()
		a := o.soak.callers.send(n, http.MethodGet, q, "", nil)
		if n.current() != p || a.status != http.StatusOK && a.status != http.StatusNotFound {
			continue
		}
		wrong := o.configs.check(queueAnswer{process: p, startedAt: p.startedAt, sentAt: sentAt, answeredAt: boottime.Now(), queue: q,
			served: a.status == http.StatusOK, quiet: o.isQuiet(n, p, sentAt)})
		if wrong != "" {
			o.soak.oracle.report(promiseConfig, sentAt, "%s %s", n.settings.Name, wrong)
		}
	}
}

// isQuiet reports whether neither a node nor the store was disturbed for the time that the node takes to connect again and to apply a
// configuration.
func (o *operator) isQuiet(n *soakNode, p *process, at time.Duration) bool {
	since := at - standin.ReconnectTime - standin.ConfigApply
	return p.startedAt < since && !p.suspendedSince(since) && !o.soak.oracle.isDisturbed(n.settings.Name, since, at) &&
		!o.soak.oracle.isDisturbed(storeSubject, since, at)
}
