package bench

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/share"
	"cactuswall.example/cactuswall/internal/units"
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

// scenario is one load with what goes wrong during it.
type scenario struct {
	name string
	load float64
	// spoil is called after the warm-up.
	spoil func(d *deployment)
}

// deployment is the nodes and endpoints of one measurement.
type deployment struct {
	policy   string
	backends []*backend
	byName   map[string]*backend
	handlers []*caller.Handler
	dirs     []*endpoint.Directory
	cut      atomic.Pointer[string]
	sent     atomic.Int64
}

func newDeployment(policy string, random *rand.Rand) *deployment {
	d := &deployment{policy: policy, byName: make(map[string]*backend)}
	none := ""
	d.cut.Store(&none)
	for domain := range domains {
		for i := range endpointsEach {
			b := newBackend(domain, i, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
			d.backends = append(d.backends, b)
			d.byName[b.info.Address] = b
		}
	}
	var nodes []share.Node
	for i := range domains * nodesPerDomain {
		nodes = append(nodes, share.Node{Name: fmt.Sprint(i), FailureDomain: domainName(i % domains)})
	}
	for _, n := range nodes {
		d.addNode(n, share.NewSet(n.Name, n.FailureDomain, nodes))
	}
	return d
}

func (d *deployment) addNode(n share.Node, set share.Set) {
	directory := endpoint.NewDirectory()
	infos := make([]endpoint.Info, len(d.backends))
	for i, b := range d.backends {
		infos[i] = b.info
	}
	directory.Update(infos)
	for _, e := range directory.All() {
		if d.policy == "adaptive" {
			e.SetShare(set.Of(slots, e.ID, e.FailureDomain), set.Of(connections, e.ID, e.FailureDomain))
		} else {
			e.SetShare(1<<20, 1<<20)
		}
	}
	w := wire{domain: n.FailureDomain, backends: d.byName, cut: func() string { return *d.cut.Load() }}
	m := benchManifest()
	d.dirs = append(d.dirs, directory)
	d.handlers = append(d.handlers, caller.NewHandler(caller.Options{
		Limits: settings.Default().Callers, Directory: directory, Chooser: d.chooser(w), Transport: counted{w, d},
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	}))
}

// counted counts the requests that reach endpoints and tells the knowing chooser of them.
type counted struct {
	wire
	d *deployment
}

// RoundTrip implements http.RoundTripper.
func (c counted) RoundTrip(req *http.Request) (*http.Response, error) {
	c.d.sent.Add(1)
	b := c.backends[req.URL.Host]
	b.commit(1)
	defer b.commit(-1)
	return c.wire.RoundTrip(req)
}

func (d *deployment) chooser(w wire) route.Chooser {
	switch d.policy {
	case "random":
		return random{w.domain}
	case "round robin":
		return roundRobin{w.domain, new(atomic.Int64)}
	case "least outstanding":
		return least{w.domain}
	case "knowing":
		return knowing{w}
	default:
		return route.Adaptive{FailureDomain: w.domain}
	}
}

func benchManifest() *manifest.Manifest {
	return &manifest.Manifest{Services: []manifest.Service{{
		Name: "s", PathPrefix: "/s/", Slots: slots, Connections: connections,
		LatencyTarget: units.Duration(300 * time.Millisecond), Timeout: units.Duration(timeoutOfRequest),
	}}}
}

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

func scenarios() []scenario {
	list := []scenario{{name: "50%", load: 0.5}, {name: "80%", load: 0.8}, {name: "95%", load: 0.95}, {name: "120%", load: 1.2}}
	return append(list,
		scenario{"70%, one endpoint five times slower", 0.7, func(d *deployment) { d.backends[0].factor = 5 }},
		scenario{"70%, one endpoint failing fast", 0.7, func(d *deployment) { d.backends[0].failing = true }},
		scenario{"50%, one domain cut off", 0.5, func(d *deployment) {
			cut := domainName(0)
			d.cut.Store(&cut)
		}},
		scenario{"50%, a third of the endpoints leaving", 0.5, func(d *deployment) {
			for i := 0; i < len(d.backends); i += 3 {
				d.backends[i].leaving = true
			}
		}},
		scenario{"70%, every endpoint down", 0.7, func(d *deployment) {
			for _, b := range d.backends {
				b.down = true
			}
		}},
	)
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
