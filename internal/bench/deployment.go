package bench

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactuswall.example/cactuswall/internal/caller"
	"cactuswall.example/cactuswall/internal/endpoint"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/route"
	"cactuswall.example/cactuswall/internal/settings"
	"cactuswall.example/cactuswall/internal/share"
	"cactuswall.example/cactuswall/internal/units"
)

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
