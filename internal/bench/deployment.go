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
	"cactuswall.example/cactuswall/internal/slotshare"
	"cactuswall.example/cactuswall/internal/units"
)

// scenario is a load level together with a fault that occurs under it.
type scenario struct {
	name string
	// load is the request rate as a fraction of the total capacity of the endpoints.
	load float64
	// injectFault is called after the warm-up. May be nil.
	injectFault func(d *deployment)
}

// deployment holds the nodes and the endpoints of one measurement.
type deployment struct {
	policy      string
	backends    []*backend
	byAddress   map[string]*backend
	handlers    []*caller.Handler
	directories []*endpoint.Directory
	// cut is the failure domain that is cut off from the others, or an empty string.
	cut atomic.Pointer[string]
	// sent counts the requests that nodes sent to endpoints.
	sent atomic.Int64
}

func newDeployment(policy string, random *rand.Rand) *deployment {
	d := &deployment{policy: policy, byAddress: make(map[string]*backend)}
	none := ""
	d.cut.Store(&none)
	for domain := range domains {
		for i := range endpointsPerDomain {
			b := newBackend(domain, i, rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
			d.backends = append(d.backends, b)
			d.byAddress[b.info.Address] = b
		}
	}
	var nodes []slotshare.Node
	for i := range domains * nodesPerDomain {
		nodes = append(nodes, slotshare.Node{Name: fmt.Sprint(i), FailureDomain: domainName(i % domains)})
	}
	for _, n := range nodes {
		d.addNode(n, slotshare.NewSet(n.Name, n.FailureDomain, nodes))
	}
	return d
}

// addNode adds a node with the policy of the deployment. Only the policy "adaptive" limits the node to its shares,
// according to set, of the slots and connections of each endpoint; with the other policies the node gets limits that
// are never reached.
func (d *deployment) addNode(n slotshare.Node, set slotshare.Set) {
	directory := endpoint.NewDirectory()
	infos := make([]endpoint.Info, len(d.backends))
	for i, b := range d.backends {
		infos[i] = b.info
	}
	directory.Update(infos)
	for _, e := range directory.All() {
		if d.policy == "adaptive" {
			e.SetShare(set.ShareOf(slots, e.ID, e.FailureDomain), set.ShareOf(connections, e.ID, e.FailureDomain))
		} else {
			e.SetShare(1<<20, 1<<20)
		}
	}
	transport := network{domain: n.FailureDomain, backends: d.byAddress, cut: func() string { return *d.cut.Load() }}
	m := benchManifest()
	d.directories = append(d.directories, directory)
	d.handlers = append(d.handlers, caller.NewHandler(caller.Options{
		Limits: settings.Default().Callers, Directory: directory, Chooser: d.chooser(transport), Transport: countingTransport{transport, d},
		Metrics: metrics.NewSet(), Manifest: func() *manifest.Manifest { return m },
	}))
}

// countingTransport counts the requests sent to endpoints. For the chooser omniscient it also counts, for each
// endpoint, the requests that have not completed.
type countingTransport struct {
	network
	d *deployment
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c.d.sent.Add(1)
	b := c.backends[req.URL.Host]
	b.addAssigned(1)
	defer b.addAssigned(-1)
	return c.network.RoundTrip(req)
}

// chooser returns the chooser of the policy of the deployment.
func (d *deployment) chooser(transport network) route.Chooser {
	switch d.policy {
	case "random":
		return random{transport.domain}
	case "round robin":
		return roundRobin{transport.domain, new(atomic.Int64)}
	case "least outstanding":
		return leastOutstanding{transport.domain}
	case "knowing":
		return omniscient{transport}
	default:
		return route.Adaptive{FailureDomain: transport.domain}
	}
}

// benchManifest returns a manifest with the one service that is measured.
func benchManifest() *manifest.Manifest {
	return &manifest.Manifest{Services: []manifest.Service{{
		Name: "s", PathPrefix: "/s/", Slots: slots, Connections: connections,
		LatencyTarget: units.Duration(300 * time.Millisecond), Timeout: units.Duration(requestTimeout),
	}}}
}

// scenarios returns the scenarios to measure.
func scenarios() []scenario {
	list := []scenario{{name: "50%", load: 0.5}, {name: "80%", load: 0.8}, {name: "95%", load: 0.95}, {name: "120%", load: 1.2}}
	return append(list,
		scenario{"70%, one endpoint five times slower", 0.7, func(d *deployment) { d.backends[0].slowFactor = 5 }},
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
