package bench

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var (
	figures        = flag.Bool("figures", false, "run the measurements for docs/PERFORMANCE.md")
	loadSeed       = flag.Uint64("load-seed", 1, "seed of the load")
	scenarioFilter = flag.String("only", "", "measure only the scenarios whose names match this regular expression")
	policyFilter   = flag.String("policies", "", "measure only the policies whose names match this regular expression")
	seconds        = flag.Int("seconds", 6, "duration of each measurement in virtual seconds, after a warm-up of two seconds")
)

const warmUp = 2 * time.Second

// policies are the policies to compare. The first is the one that the nodes use.
var policies = []string{"adaptive", "random", "round robin", "least outstanding", "knowing"}

// measurement is the result of one policy in one scenario.
type measurement struct {
	latency *hdrhistogram.Histogram
	// offered, succeeded and failed count the requests sent by callers, those with status 200 and all others.
	offered   int
	succeeded int
	failed    int
	// requests counts the requests that nodes sent to endpoints, including retries.
	requests int64
	// peak is the highest number of requests that were at one endpoint at once.
	peak int
}

// measure sends an open-loop load, in which arrivals do not wait for responses, with exponentially distributed times
// between arrivals.
func measure(t *testing.T, s scenario, policy string) measurement {
	result := measurement{latency: hdrhistogram.New(1, 10_000_000, 3)}
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(*loadSeed, 2))
		d := newDeployment(policy, random)
		done := make(chan struct{})
		for _, b := range d.backends {
			go b.varyInterference(done)
		}
		rate := s.load * capacityPerSlot * slots * float64(len(d.backends))
		var mu sync.Mutex
		var wg sync.WaitGroup
		start := time.Now()
		end := start.Add(warmUp + time.Duration(*seconds)*time.Second)
		faultInjected := false
		for next := start; next.Before(end); {
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			h := d.handlers[random.IntN(len(d.handlers))]
			warm := time.Since(start) > warmUp
			if warm && !faultInjected {
				faultInjected = true
				d.sent.Store(0)
				if s.injectFault != nil {
					s.injectFault(d)
				}
			}
			wg.Go(func() {
				sentAt := time.Now()
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/s/x", nil))
				if !warm {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				result.offered++
				if w.Code != http.StatusOK {
					result.failed++
					return
				}
				result.succeeded++
				_ = result.latency.RecordValue(time.Since(sentAt).Microseconds())
			})
		}
		wg.Wait()
		close(done)
		time.Sleep(10 * requestTimeout)
		result.requests = d.sent.Load()
		for _, b := range d.backends {
			result.peak = max(result.peak, b.peak)
		}
	})
	return result
}

func (r measurement) String() string {
	ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%8.1f %8.1f %8.1f %9.2f%% %8d %10.3f %5d",
		ms(50), ms(99), ms(99.9), 100*float64(r.succeeded)/float64(r.offered), r.failed, float64(r.requests)/float64(r.offered), r.peak)
}

// TestFigures prints the measurements for docs/PERFORMANCE.md.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("measurements run only with -figures")
	}
	for _, s := range scenarios() {
		if !matches(*scenarioFilter, s.name) {
			continue
		}
		t.Logf("load %s: p50, p99, p99.9 in ms, success rate, failed, requests to endpoints per request, peak requests at an endpoint", s.name)
		for _, policy := range policies {
			if matches(*policyFilter, policy) {
				t.Logf("%-18s %s", policy, measure(t, s, policy))
			}
		}
	}
}

func matches(expression, name string) bool { return regexp.MustCompile(expression).MatchString(name) }
