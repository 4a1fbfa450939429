package bench

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/endpoint"
)

const (
	domains            = 3
	nodesPerDomain     = 3
	endpointsPerDomain = 16
	// slots is the number of requests that one endpoint processes concurrently, connections the number of connections
	// to it that the nodes share.
	slots           = 8
	connections     = 64
	meanServiceTime = 40 * time.Millisecond
	// serviceSigma is the standard deviation of the logarithm of the service time.
	serviceSigma = 0.5
	// localDelay and remoteDelay are the one-way network delays within and between failure domains.
	localDelay  = 250 * time.Microsecond
	remoteDelay = 3500 * time.Microsecond
	// slowdown is the factor on the service time under interference, slowFraction the fraction of time with
	// interference, and slowPeriod the mean interval at which a random choice turns interference on or off.
	slowdown     = 1.6
	slowFraction = 0.25
	slowPeriod   = time.Second
	// capacityPerSlot is the mean number of requests per second that a slot can process.
	capacityPerSlot = float64(time.Second) / float64(meanServiceTime) / (1 + slowFraction*(slowdown-1))
	requestTimeout  = time.Second
)

// backend simulates one endpoint with slots, a queue of requests that wait for a slot, and interference that varies
// over time.
type backend struct {
	info endpoint.Info

	mu     sync.Mutex
	random *rand.Rand
	// interference is the current factor by which interference lengthens the service time.
	interference float64
	// assigned is the number of requests that nodes have sent here and that are not complete.
	assigned int
	// busy is the number of occupied slots.
	busy  int
	queue []chan struct{}
	// peak is the highest number of requests that were here at once.
	peak int
	// slowFactor is a constant factor on the service time. A failing endpoint responds at once with status 500, one
	// that is down refuses connections, and one that is leaving rejects requests.
	slowFactor float64
	failing    bool
	down       bool
	leaving    bool
}

func newBackend(domain, i int, random *rand.Rand) *backend {
	id := fmt.Sprintf("e%d-%d", domain, i)
	return &backend{
		info:         endpoint.Info{ID: id, Service: "s", FailureDomain: domainName(domain), Address: id + ":80"},
		random:       random,
		interference: 1,
		slowFactor:   1,
	}
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// varyInterference turns interference on and off at random until done is closed.
func (b *backend) varyInterference(done <-chan struct{}) {
	for {
		b.mu.Lock()
		b.interference = 1
		if b.random.Float64() < slowFraction {
			b.interference = slowdown
		}
		wait := time.Duration(float64(slowPeriod) * (0.5 + b.random.Float64()))
		b.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(wait):
		}
	}
}

// drawServiceTime draws the service time of a request from a log-normal distribution with the mean meanServiceTime,
// scaled by the slowness of the endpoint.
func (b *backend) drawServiceTime() time.Duration {
	logNormal := math.Exp(serviceSigma*b.random.NormFloat64() - serviceSigma*serviceSigma/2)
	return time.Duration(float64(meanServiceTime) * logNormal * b.interference * b.slowFactor)
}

// expectedLatency returns the latency in nanoseconds to expect over a network with the given one-way delay, from the
// actual state of the endpoint. It is infinite if the endpoint does not process requests.
func (b *backend) expectedLatency(delay time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing || b.down || b.leaving {
		return math.Inf(1)
	}
	service := float64(meanServiceTime) * b.interference * b.slowFactor
	ahead := max(0, b.assigned-slots+1)
	return 2*float64(delay) + service*(1+float64(ahead)/slots)
}

// addAssigned changes the number of assigned requests by n.
func (b *backend) addAssigned(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.assigned += n
}

var errDown = errors.New("connection refused")

// serve processes one request and returns the response.
func (b *backend) serve(req *http.Request) (*http.Response, error) {
	b.mu.Lock()
	switch {
	case b.down:
		b.mu.Unlock()
		return nil, errDown
	case b.failing:
		b.mu.Unlock()
		return newResponse(req, http.StatusInternalServerError, ""), nil
	case b.leaving:
		b.mu.Unlock()
		return newResponse(req, http.StatusServiceUnavailable, endpoint.NotRunLeaving), nil
	}
	b.acquireSlot()
	service := b.drawServiceTime()
	b.mu.Unlock()
	time.Sleep(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
	if len(b.queue) > 0 {
		b.busy++
		close(b.queue[0])
		b.queue = b.queue[1:]
	}
	return newResponse(req, http.StatusOK, ""), nil
}

// acquireSlot waits for a slot. The caller must hold b.mu, which is released during the wait.
func (b *backend) acquireSlot() {
	if b.busy < slots {
		b.busy++
		b.peak = max(b.peak, b.busy)
		return
	}
	slotFree := make(chan struct{})
	b.queue = append(b.queue, slotFree)
	b.peak = max(b.peak, b.busy+len(b.queue))
	b.mu.Unlock()
	<-slotFree
	b.mu.Lock()
}

// newResponse returns a response with a short body. notRun is the value of the endpoint.NotRunHeader, if not empty.
func newResponse(req *http.Request, status int, notRun string) *http.Response {
	resp := &http.Response{
		StatusCode: status, Header: http.Header{}, Request: req, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2,
	}
	if notRun != "" {
		resp.Header.Set(endpoint.NotRunHeader, notRun)
	}
	return resp
}

// network carries the requests of one node to the endpoints and simulates network delay and a partition.
type network struct {
	domain   string
	backends map[string]*backend
	// cut returns the failure domain that is cut off from the others, or an empty string.
	cut func() string
}

func (n network) delay(b *backend) time.Duration {
	if b.info.FailureDomain == n.domain {
		return localDelay
	}
	return remoteDelay
}

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(req *http.Request) (*http.Response, error) {
	b := n.backends[req.URL.Host]
	if cut := n.cut(); cut != "" && b.info.FailureDomain != n.domain && (cut == b.info.FailureDomain || cut == n.domain) {
		return nil, errDown
	}
	time.Sleep(n.delay(b))
	resp, err := b.serve(req)
	time.Sleep(n.delay(b))
	return resp, err
}
