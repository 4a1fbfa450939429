package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"cactuswall.example/cactuswall/internal/boottime"
	"cactuswall.example/cactuswall/platform/standin"
)

const (
	// evacuationPause is the mean time between the end of an evacuation and the next one of the same failure domain.
	evacuationPause = 8 * time.Second
	// minEvacuation and maxEvacuation limit the time for which a failure domain is evacuated. Some end before the bound.
	minEvacuation, maxEvacuation = 3 * time.Second, 15 * time.Second
	// writeRetryDelay is the time between two attempts to store a request while the store is disturbed.
	writeRetryDelay = 300 * time.Millisecond
)

// evacuate requests evacuations of each failure domain at random times, so that some overlap, and withdraws them. It returns once
// all are withdrawn after ctx has ended.
func (o *operator) evacuate(ctx context.Context, seed uint64) {
	done := make(chan struct{})
	for i := range o.soak.options.Domains {
		go func() {
			o.evacuateDomain(ctx, domainName(i), rand.New(rand.NewPCG(seed, uint64(2000+i))))
			done <- struct{}{}
		}()
	}
	for range o.soak.options.Domains {
		<-done
	}
}

func (o *operator) evacuateDomain(ctx context.Context, domain string, random *rand.Rand) {
	for {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(evacuationPause)))
		if ctx.Err() != nil {
			return
		}
		o.writeEvacuation(domain, true)
		evacuation := o.soak.oracle.evacuate(domain, boottime.Now())
		o.soak.stats.count("evacuations")
		sleep(ctx, minEvacuation+time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation))))
		o.soak.oracle.endDisturbance(evacuation, boottime.Now()) // the withdrawal may take effect before its answer
		o.writeEvacuation(domain, false)
	}
}

// writeEvacuation stores a request or its withdrawal, and returns once the store has acknowledged it.
func (o *operator) writeEvacuation(domain string, active bool) {
	for attempt := 0; attempt < 300; attempt++ { // until the run has long ended
		err := o.writer.WriteEvacuation(domain, active)
		if err == nil {
			return
		}
		time.Sleep(writeRetryDelay)
	}
}

// evacuate notes that the store has acknowledged the request for a failure domain.
func (o *oracle) evacuate(domain string, at time.Duration) *interval {
	o.mu.Lock()
	defer o.mu.Unlock()
	evacuation := &interval{at, endlessTime}
	o.evacuations[domain] = append(o.evacuations[domain], evacuation)
	return evacuation
}

// checkEvacuation checks that a run did not start in a failure domain after the bound. An order that was held up on its way to a
// disturbed worker is not a new decision. The caller holds mu.
func (o *oracle) checkEvacuation(task string, r *run) {
	domain := o.domains[r.worker]
	for _, e := range o.evacuations[domain] {
		if r.start <= e.from+standin.EvacuateBound || r.start >= e.to || o.disturbed(r.worker, r.start-orderDelay, r.start) {
			continue
		}
		o.violate(promiseEvacuated, r.start, "task %s started on %s, whose failure domain %s has been evacuated for %v", task, r.worker, domain,
			r.start-e.from)
	}
}
