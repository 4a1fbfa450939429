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
	domains          = 3
	nodesPerDomain   = 3
	endpointsEach    = 16
	slots            = 8
	connections      = 64
	meanService      = 40 * time.Millisecond
	serviceSigma     = 0.5
	localDelay       = 250 * time.Microsecond
	remoteDelay      = 3500 * time.Microsecond
	slowdown         = 1.6
	slowPart         = 0.25
	slowPeriod       = time.Second
	capacityPerSlot  = float64(time.Second) / float64(meanService) / (1 + slowPart*(slowdown-1))
	timeoutOfRequest = time.Second
)

// backend is one endpoint: slots, a queue behind them, and interference that comes and goes.
type backend struct {
	info endpoint.Info

	mu        sync.Mutex
	random    *rand.Rand
	slow      float64
	committed int
	busy      int
	queue     []chan struct{}
	peak      int
	// factor is a lasting slowness; failing makes it answer 500 at once; down refuses connections;
	// leaving refuses requests.
	factor  float64
	failing bool
	down    bool
	leaving bool
}

func newBackend(domain, i int, random *rand.Rand) *backend {
	id := fmt.Sprintf("e%d-%d", domain, i)
	return &backend{
		info:   endpoint.Info{ID: id, Service: "s", FailureDomain: domainName(domain), Address: id + ":80"},
		random: random,
		slow:   1,
		factor: 1,
	}
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

// interfere changes the slowness by interference until done.
func (b *backend) interfere(done <-chan struct{}) {
	for {
		b.mu.Lock()
		b.slow = 1
		if b.random.Float64() < slowPart {
			b.slow = slowdown
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

func (b *backend) draw() time.Duration {
	normal := math.Exp(serviceSigma*b.random.NormFloat64() - serviceSigma*serviceSigma/2)
	return time.Duration(float64(meanService) * normal * b.slow * b.factor)
}

// expected returns the time to an answer as a chooser that knows everything sees it.
func (b *backend) expected(delay time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing || b.down || b.leaving {
		return math.Inf(1)
	}
	service := float64(meanService) * b.slow * b.factor
	ahead := max(0, b.committed-slots+1)
	return 2*float64(delay) + service*(1+float64(ahead)/slots)
}

func (b *backend) commit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.committed += n
}

var errDown = errors.New("connection refused")

// serve runs one request and returns its answer.
func (b *backend) serve(req *http.Request) (*http.Response, error) {
	b.mu.Lock()
	switch {
	case b.down:
		b.mu.Unlock()
		return nil, errDown
	case b.failing:
		b.mu.Unlock()
		return answer(req, http.StatusInternalServerError, ""), nil
	case b.leaving:
		b.mu.Unlock()
		return answer(req, http.StatusServiceUnavailable, endpoint.NotRunLeaving), nil
	}
	b.enter()
	service := b.draw()
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
	return answer(req, http.StatusOK, ""), nil
}

// enter waits for a slot. The caller holds the lock.
func (b *backend) enter() {
	if b.busy < slots {
		b.busy++
		b.peak = max(b.peak, b.busy)
		return
	}
	turn := make(chan struct{})
	b.queue = append(b.queue, turn)
	b.peak = max(b.peak, b.busy+len(b.queue))
	b.mu.Unlock()
	<-turn
	b.mu.Lock()
}

func answer(req *http.Request, status int, notRun string) *http.Response {
	resp := &http.Response{
		StatusCode: status, Header: http.Header{}, Request: req, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2,
	}
	if notRun != "" {
		resp.Header.Set(endpoint.NotRunHeader, notRun)
	}
	return resp
}

// wire carries the requests of one node to the endpoints, with the delay of the network.
type wire struct {
	domain   string
	backends map[string]*backend
	// cut is a failure domain that is cut off from the others.
	cut func() string
}

func (w wire) delay(b *backend) time.Duration {
	if b.info.FailureDomain == w.domain {
		return localDelay
	}
	return remoteDelay
}

// RoundTrip implements http.RoundTripper.
func (w wire) RoundTrip(req *http.Request) (*http.Response, error) {
	b := w.backends[req.URL.Host]
	if cut := w.cut(); cut != "" && b.info.FailureDomain != w.domain && (cut == b.info.FailureDomain || cut == w.domain) {
		return nil, errDown
	}
	time.Sleep(w.delay(b))
	resp, err := b.serve(req)
	time.Sleep(w.delay(b))
	return resp, err
}
