package cell

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counterCache holds the counters of a set that have a label, so that counting an event formats no name. Its zero value
// is empty, and it is safe for concurrent use.
type counterCache struct{ byKey sync.Map }

// counterKey identifies a counter; a metric has one label only.
type counterKey struct{ metric, value string }

// get returns the counter of a metric with a label, which it adds to the set if necessary.
func (c *counterCache) get(set *metrics.Set, metric, label, value string) *metrics.Counter {
	if counter, known := c.byKey.Load(counterKey{metric, value}); known {
		return counter.(*metrics.Counter) //nolint:forcetypeassert // nothing else is stored
	}
	counter := set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", metric, label, value))
	c.byKey.Store(counterKey{metric, value}, counter)
	return counter
}
