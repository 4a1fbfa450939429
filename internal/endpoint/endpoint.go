// Package endpoint holds the endpoints of all services as this node knows them, and sends requests to them. It
// counts this node's requests and connections at each endpoint against the node's share, that is, the part of
// the endpoint's slots and connections that this node may use. A slot is room for one request in flight. The
// package also measures the health of each endpoint and tells for a failed request whether the endpoint may
// have run it.
package endpoint

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Info describes one endpoint.
type Info struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	// Address is an IP address with a port.
	Address string `json:"address"`
	// Leaving is set if the endpoint is draining: it gets no new requests. The current state of an Endpoint is
	// returned by its method Leaving; this field is not updated.
	Leaving bool `json:"leaving"`
}

// Endpoint is one endpoint together with this node's requests and connections to it and its measured health. A
// Directory keeps the same Endpoint across updates while its ID and address stay the same.
type Endpoint struct {
	Info
	leaving atomic.Bool
	health  health

	connectionLimit atomic.Int64
	connections     atomic.Int64
	listeners       atomic.Int64
}

// New returns an endpoint without slots or connections for this node; SetShare assigns them.
func New(info Info) *Endpoint {
	e := &Endpoint{Info: info}
	if info.Leaving {
		e.MarkLeaving()
	}
	return e
}

// SetShare sets how many requests and connections this node may have at the endpoint. When the share is lowered
// below what is in use, running requests and open connections are not interrupted, but no new ones start until
// their number is below the share.
func (e *Endpoint) SetShare(slots, connections int) {
	e.health.mu.Lock()
	e.health.slots = min(slots, connections)
	e.health.mu.Unlock()
	e.connectionLimit.Store(int64(connections))
}

// WithinShare reports whether the requests and connections in use are within the share.
func (e *Endpoint) WithinShare() bool {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.outstanding <= e.health.slots && e.connections.Load() <= e.connectionLimit.Load()
}

// BeginSlowStart starts a period in which the load on the endpoint is raised gradually.
func (e *Endpoint) BeginSlowStart(now time.Time) {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	e.health.slowStartAt = now
}

// openConnection counts a new connection. It returns false if the connection limit is reached.
func (e *Endpoint) openConnection() bool {
	if e.connections.Add(1) > e.connectionLimit.Load() {
		e.connections.Add(-1)
		return false
	}
	return true
}

func (e *Endpoint) closeConnection() { e.connections.Add(-1) }

// Connections returns the number of connections from this node to the endpoint.
func (e *Endpoint) Connections() int64 { return e.connections.Load() }

// ConnectionLimit returns the maximum number of connections from this node to the endpoint.
func (e *Endpoint) ConnectionLimit() int64 { return e.connectionLimit.Load() }

// AcquireListener reserves a connection for a listener. ServiceEndpoints the node's connections at the
// endpoint, one per slot is kept for other requests and the rest is for listeners; AcquireListener returns
// false if the rest is in use.
func (e *Endpoint) AcquireListener() bool {
	if e.listeners.Add(1) > e.connectionLimit.Load()-int64(e.Slots()) {
		e.listeners.Add(-1)
		return false
	}
	return true
}

// ReleaseListener releases a connection that was reserved by AcquireListener.
func (e *Endpoint) ReleaseListener() { e.listeners.Add(-1) }

// Listeners returns the number of this node's listeners at the endpoint.
func (e *Endpoint) Listeners() int64 { return e.listeners.Load() }

// MarkLeaving records that the endpoint is leaving, that is, draining. The mark is permanent.
func (e *Endpoint) MarkLeaving() { e.leaving.Store(true) }

// Leaving reports whether the endpoint was marked as leaving, by its Info, after its response to a request, or
// by Directory.MarkLeaving.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Directory holds the endpoints of all services. It is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	populated bool
	byID      map[string]*Endpoint
	byService atomic.Pointer[map[string][]*Endpoint]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{byID: make(map[string]*Endpoint)}
	d.byService.Store(&map[string][]*Endpoint{})
	return d
}

// ServiceEndpoints returns the endpoints of a service, sorted by ID. The caller must not modify the slice.
func (d *Directory) ServiceEndpoints(service string) []*Endpoint {
	return (*d.byService.Load())[service]
}

// Update replaces the endpoints. An endpoint whose ID and address are already known keeps its counts, its
// health and its leaving mark. Other endpoints begin with a slow start, unless the directory was empty until
// now.
func (d *Directory) Update(infos []Info) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byID := make(map[string]*Endpoint, len(infos))
	byService := make(map[string][]*Endpoint)
	for _, info := range infos {
		e := d.byID[info.ID]
		if e == nil || e.Address != info.Address {
			e = New(info)
			if d.populated {
				e.BeginSlowStart(time.Now())
			}
		}
		if info.Leaving {
			e.MarkLeaving()
		}
		byID[info.ID] = e
		byService[info.Service] = append(byService[info.Service], e)
	}
	for _, list := range byService {
		sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	}
	d.byID = byID
	d.populated = d.populated || len(byID) > 0
	d.byService.Store(&byService)
}

// MarkLeaving marks the endpoints with the given IDs as leaving. Unknown IDs are ignored.
func (d *Directory) MarkLeaving(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		if e := d.byID[id]; e != nil {
			e.MarkLeaving()
		}
	}
}

// LeavingIDs returns the sorted IDs of the endpoints that are marked as leaving.
func (d *Directory) LeavingIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, e := range d.byID {
		if e.Leaving() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// All returns every endpoint, sorted by ID.
func (d *Directory) All() []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*Endpoint, 0, len(d.byID))
	for _, e := range d.byID {
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	return all
}
