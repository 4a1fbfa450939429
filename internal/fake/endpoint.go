package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

// Endpoint is a fake of one instance of a service. It echoes the request.
type Endpoint struct {
	Faults

	name        string
	slots       chan struct{}
	serviceTime time.Duration
	leaving     atomic.Bool
	served      atomic.Int64
}

// EndpointHeader is the response header that names the endpoint.
const EndpointHeader = "X-Endpoint"

// NewEndpoint returns an endpoint that processes up to slots requests concurrently and takes serviceTime for each.
func NewEndpoint(name string, slots int, serviceTime time.Duration) *Endpoint {
	return &Endpoint{name: name, slots: make(chan struct{}, max(1, slots)), serviceTime: serviceTime}
}

// SetLeaving makes the endpoint reject new requests while leaving is true.
func (e *Endpoint) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Served returns how many requests the endpoint has processed.
func (e *Endpoint) Served() int64 { return e.served.Load() }

// ServeHTTP implements http.Handler. It rejects a request as "leaving" while the endpoint is leaving or when an
// injected fault prevents the call, and as "no_slot" when all slots are taken.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() || e.beforeEffect(r.Context()) != nil {
		w.Header().Set(NotRunHeader, "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, watchSuffix) {
		e.streamEvents(w, r)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		w.Header().Set(NotRunHeader, "no_slot")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(e.serviceTime)
	e.served.Add(1)
	if e.afterEffect() != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(EndpointHeader, e.name)
	answer := fmt.Sprintf("%s %s %s\n", r.Method, r.URL.RequestURI(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

const (
	// watchSuffix is the suffix of the paths that are answered with a stream of events.
	watchSuffix = "/watch"
	// eventPeriod is the interval between two events of a stream.
	eventPeriod = time.Second
)

// streamEvents sends server-sent events with increasing IDs until the endpoint is leaving or the client
// disconnects. It takes no slot.
func (e *Endpoint) streamEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(EndpointHeader, e.name)
	id, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	for !e.leaving.Load() {
		id++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, e.name); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPeriod):
		}
	}
}

// NotRunHeader is the response header that an endpoint sets when it rejects a request without having run it.
const NotRunHeader = "Cactuswall-Not-Run"

// VM returns the endpoint's entry in the platform's list.
func (e *Endpoint) VM(service, domain, address string) platform.VM {
	return platform.VM{
		ID:            e.name,
		Kind:          platform.EndpointVM,
		State:         platform.Live,
		FailureDomain: domain,
		Address:       address,
		Service:       service,
	}
}
