package cellnode

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/internal/evacuation"
	"cactuswall.example/cactuswall/internal/store"
)

const (
	// confirmAge is the age of the set of evacuated failure domains from which an owner confirms it by a read that does not
	// wait for records. The reads that wait take up to configReadWait and, if their connection is silent, a second longer.
	confirmAge = 800 * time.Millisecond
	// confirmInterval is the interval at which the age is checked.
	confirmInterval = 200 * time.Millisecond
)

// operatorTopic reads the operator's topic, which holds the configuration and the requests of evacuations. Several reads may
// be in flight at a time, so that one on a silent connection delays no other.
type operatorTopic struct {
	node *Node

	mu      sync.Mutex // protects the fields up to tracker
	listed  bool
	next    store.Offset
	tracker *evacuation.Tracker
	// view is nil until the topic has been read once.
	view atomic.Pointer[evacuation.View]
}

func newOperatorTopic(n *Node) *operatorTopic {
	t := &operatorTopic{node: n, tracker: evacuation.NewTracker(n.settings.FailureDomains)}
	n.metrics.NewGauge("cactuswall_evacuations", t.count)
	for _, domain := range n.settings.FailureDomains {
		n.metrics.GetOrCreateGauge(`cactuswall_evacuated{domain=`+strconv.Quote(domain)+`}`, func() float64 { return t.evacuated(domain) })
	}
	return t
}

// read applies the records that were written since the last read, waiting up to wait for new ones. The first read lists the
// topic, and so does the next one after unread records were deleted.
func (t *operatorTopic) read(ctx context.Context, wait time.Duration) error {
	t.mu.Lock()
	listed, from := t.listed, t.next
	t.mu.Unlock()
	if !listed {
		records, end, err := listAll(ctx, t.node.platform.Store, t.node.platform.Topics.Config)
		if err != nil {
			return err
		}
		t.applyListing(records, end)
		from, wait = end, 0
	}
	start := boottime.Now()
	page, err := t.node.platform.Store.Read(ctx, t.node.platform.Topics.Config, from, wait)
	if store.HasReason(err, store.ReasonTrimmed) {
		t.mu.Lock()
		t.listed = t.listed && t.next != from // otherwise another read has listed the topic meanwhile
		t.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	t.applyPage(page, start)
	return nil
}

// applyListing applies a listing of the newest record of each key. end is the end of the topic when it began.
func (t *operatorTopic) applyListing(records []store.Record, end store.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.putConfigs(records)
	t.logChanges(t.tracker.Relist(records, end))
	t.listed, t.next = true, max(t.next, end)
}

// applyPage applies the records of a page that was requested at a time. The page confirms the set as of that time if it
// reaches the end of the topic.
func (t *operatorTopic) applyPage(page store.Page, requested time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.putConfigs(page.Records)
	t.logChanges(t.tracker.Apply(page.Records, page.Next))
	t.next = max(t.next, page.Next)
	view := &evacuation.View{Set: t.tracker.Set()}
	if previous := t.view.Load(); previous != nil {
		view.ConfirmedAt = previous.ConfirmedAt
		if view.Set.Equal(previous.Set) {
			view.Set = previous.Set
		}
	} else if page.Next < page.End {
		return // more records follow
	}
	if page.Next >= page.End {
		view.ConfirmedAt = max(view.ConfirmedAt, requested)
	}
	t.view.Store(view)
}

func (t *operatorTopic) putConfigs(records []store.Record) {
	for _, r := range records {
		if r.Key == t.node.platform.Topics.ConfigKey {
			t.node.putConfig(r)
		}
	}
}

// logChanges logs and counts the effects of records.
func (t *operatorTopic) logChanges(changes []evacuation.Change) {
	for _, c := range changes {
		fields := []zap.Field{zap.String("domain", c.Domain), zap.Int64("offset", int64(c.Offset))}
		switch {
		case c.Ignored != "":
			t.node.metrics.GetOrCreateCounter(`cactuswall_evacuation_requests_ignored_total{reason="` + string(c.Ignored) + `"}`).Inc()
			t.node.log.Warn("evacuation request ignored", append(fields, zap.String("reason", string(c.Ignored)))...)
		case c.Active:
			t.node.log.Info("failure domain evacuated", fields...)
		default:
			t.node.log.Info("evacuation withdrawn", fields...)
		}
	}
}

// count returns the number of evacuated failure domains of the deployment.
func (t *operatorTopic) count() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, domain := range t.tracker.Set().Domains() {
		if t.tracker.Known(domain) {
			count++
		}
	}
	return float64(count)
}

// evacuated returns 1 if a failure domain is evacuated, else 0.
func (t *operatorTopic) evacuated(domain string) float64 {
	if view := t.view.Load(); view != nil && view.Set.Contains(domain) {
		return 1
	}
	return 0
}

// confirmEvacuations reads the operator's topic whenever the set of evacuated failure domains has not been confirmed for
// confirmAge, while this node owns a cell and the deployment has a bound for evacuations.
func (n *Node) confirmEvacuations(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, confirmInterval)
		view := n.operatorTopic.view.Load()
		if view == nil || n.cellSettings.Load().MaxEvacuationAge == 0 || view.Usable(boottime.Now(), confirmAge) || len(n.owners()) == 0 {
			continue
		}
		if err := n.operatorTopic.read(ctx, 0); err != nil {
			n.recordStoreFailure("confirm evacuations", err)
		}
	}
	return ctx.Err()
}

// awaitEvacuations returns once the set of evacuated failure domains is known, so that an owner knows it before it starts
// anything.
func (o *owner) awaitEvacuations(ctx context.Context) error {
	return o.retryStep(ctx, "read evacuations", func() error {
		if o.node.operatorTopic.view.Load() != nil {
			return nil
		}
		if err := o.node.operatorTopic.read(ctx, 0); err != nil {
			return err
		}
		if o.node.operatorTopic.view.Load() == nil {
			return trace.CompareFailed("the end of the operator's topic was not reached")
		}
		return nil
	})
}

// setEvacuations passes the newest set of evacuated failure domains to the cell. The caller holds mu.
func (o *owner) setEvacuations() { o.cell.SetEvacuations(o.node.operatorTopic.view.Load()) }
