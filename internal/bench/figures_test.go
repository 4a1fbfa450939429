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
	figures  = flag.Bool("figures", false, "make the figures of docs/PERFORMANCE.md")
	loadSeed = flag.Uint64("load-seed", 1, "seed of the load")
	only     = flag.String("only", "", "measure the scenarios whose names match this expression")
	compared = flag.String("policies", "", "measure the policies whose names match this expression")
	seconds  = flag.Int("seconds", 6, "virtual seconds of each measurement, after two of warming up")
)

const warmUp = 2 * time.Second

// policies are compared with each other, the project's own first.
var policies = []string{"adaptive", "random", "round robin", "least outstanding", "knowing"}

// row is the result of one measurement.
type row struct {
	latency  *hdrhistogram.Histogram
	offered  int
	good     int
	refused  int
	requests int64
	peak     int
}

// measure sends an open-loop load: arrivals do not wait for answers.
func measure(t *testing.T, s scenario, policy string) row {
	result := row{latency: hdrhistogram.New(1, 10_000_000, 3)}
	synctest.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(*loadSeed, 2))
		d := newDeployment(policy, random)
		done := make(chan struct{})
		for _, b := range d.backends {
			go b.interfere(done)
		}
		rate := s.load * capacityPerSlot * slots * float64(len(d.backends))
		var mu sync.Mutex
		var all sync.WaitGroup
		start := time.Now()
		end := start.Add(warmUp + time.Duration(*seconds)*time.Second)
		spoilt := false
		for next := start; next.Before(end); {
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
			h := d.handlers[random.IntN(len(d.handlers))]
			warm := time.Since(start) > warmUp
			if warm && !spoilt {
				spoilt = true
				d.sent.Store(0)
				if s.spoil != nil {
					s.spoil(d)
				}
			}
			all.Go(func() {
				began := time.Now()
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/s/x", nil))
				if !warm {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				result.offered++
				if w.Code != http.StatusOK {
					result.refused++
					return
				}
				result.good++
				_ = result.latency.RecordValue(time.Since(began).Microseconds())
			})
		}
		all.Wait()
		close(done)
		time.Sleep(10 * timeoutOfRequest)
		result.requests = d.sent.Load()
		for _, b := range d.backends {
			result.peak = max(result.peak, b.peak)
		}
	})
	return result
}

func (r row) String() string {
	ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%8.1f %8.1f %8.1f %9.2f%% %8d %10.3f %5d",
		ms(50), ms(99), ms(99.9), 100*float64(r.good)/float64(r.offered), r.refused, float64(r.requests)/float64(r.offered), r.peak)
}

// TestFigures prints the figures of docs/PERFORMANCE.md.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("figures are made with -figures")
	}
	for _, s := range scenarios() {
		if !matches(*only, s.name) {
			continue
		}
		t.Logf("load %s: p50, p99, p99.9 in ms, answered, refused, exchanges for each request, most requests at an endpoint", s.name)
		for _, policy := range policies {
			if matches(*compared, policy) {
				t.Logf("%-18s %s", policy, measure(t, s, policy))
			}
		}
	}
}

func matches(expression, name string) bool { return regexp.MustCompile(expression).MatchString(name) }
