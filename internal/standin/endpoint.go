package standin

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

// Endpoint stands in for one instance of a service. It echoes what it was asked.
type Endpoint struct {
	Faults

	name    string
	slots   chan struct{}
	service time.Duration
	leaving atomic.Bool
	count   atomic.Int64
}

// EndpointHeader tells which endpoint gave an answer.
const EndpointHeader = "X-Endpoint"

// NewEndpoint returns an endpoint that works on slots requests at once and takes serviceTime for each.
func NewEndpoint(name string, slots int, serviceTime time.Duration) *Endpoint {
	return &Endpoint{name: name, slots: make(chan struct{}, max(1, slots)), service: serviceTime}
}

// SetLeaving makes the endpoint refuse new requests.
func (e *Endpoint) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Served returns how many requests the endpoint has run.
func (e *Endpoint) Served() int64 { return e.count.Load() }

// ServeHTTP runs one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.leaving.Load() || e.before(r.Context()) != nil {
		w.Header().Set(NotRunHeader, "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, watchSuffix) {
		e.watch(w, r)
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
	time.Sleep(e.service)
	e.count.Add(1)
	if e.after() != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(EndpointHeader, e.name)
	answer := fmt.Sprintf("%s %s %s\n", r.Method, r.URL.RequestURI(), body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

const (
	// watchSuffix ends the paths that answer with a stream of events.
	watchSuffix = "/watch"
	// eventPeriod is the time between two events of a stream.
	eventPeriod = time.Second
)

// watch streams events with rising IDs until the endpoint is leaving or the listener goes. It takes no slot.
func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request) {
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

// NotRunHeader is set by an endpoint on a refusal that it made without running the request.
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
