// Package endpoint holds the endpoints of all services as this node knows them.
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
	// Address is an IP number with a port.
	Address string `json:"address"`
	// Leaving endpoints get no new request.
	Leaving bool `json:"leaving"`
}

// Endpoint is one endpoint with this node's own use of it. Its identity is kept over updates.
type Endpoint struct {
	Info
	leaving atomic.Bool
	health  health

	connectionLimit atomic.Int64
	connections     atomic.Int64
	listeners       atomic.Int64
}

// New returns an endpoint on which the node has no slot and no connection yet.
func New(info Info) *Endpoint {
	e := &Endpoint{Info: info}
	if info.Leaving {
		e.MarkLeaving()
	}
	return e
}

// SetShare sets how many requests and connections this node may have at the endpoint. What is in use
// beyond a lowered share ends by itself; nothing new begins before.
func (e *Endpoint) SetShare(slots, connections int) {
	e.health.mu.Lock()
	e.health.slots = min(slots, connections)
	e.health.mu.Unlock()
	e.connectionLimit.Store(int64(connections))
}

// WithinShare reports whether no more is in use than the share allows.
func (e *Endpoint) WithinShare() bool {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	return e.health.outstanding <= e.health.slots && e.connections.Load() <= e.connectionLimit.Load()
}

// BeginSlowStart makes the endpoint grow to its full load over a time.
func (e *Endpoint) BeginSlowStart(now time.Time) {
	e.health.mu.Lock()
	defer e.health.mu.Unlock()
	e.health.startedAt = now
}

func (e *Endpoint) openConnection() bool {
	if e.connections.Add(1) > e.connectionLimit.Load() {
		e.connections.Add(-1)
		return false
	}
	return true
}

func (e *Endpoint) closeConnection() { e.connections.Add(-1) }

// Connections returns the connections of this node to the endpoint.
func (e *Endpoint) Connections() int64 { return e.connections.Load() }

// ConnectionLimit returns the connections that this node may have to the endpoint.
func (e *Endpoint) ConnectionLimit() int64 { return e.connectionLimit.Load() }

// TryListen takes one of the connections that are left over for listeners. It fails when none is.
func (e *Endpoint) TryListen() bool {
	if e.listeners.Add(1) > e.connectionLimit.Load()-int64(e.Slots()) {
		e.listeners.Add(-1)
		return false
	}
	return true
}

// EndListen gives a listener's connection back.
func (e *Endpoint) EndListen() { e.listeners.Add(-1) }

// Listeners returns the open listeners of this node at the endpoint.
func (e *Endpoint) Listeners() int64 { return e.listeners.Load() }

// MarkLeaving records the first sign, from any source, that the endpoint is leaving. It is never undone.
func (e *Endpoint) MarkLeaving() { e.leaving.Store(true) }

// Leaving reports whether any source has said that the endpoint is leaving.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Directory holds the endpoints. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	filled   bool
	rows     map[string]*Endpoint
	services atomic.Pointer[map[string][]*Endpoint]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{rows: make(map[string]*Endpoint)}
	d.services.Store(&map[string][]*Endpoint{})
	return d
}

// Of returns the endpoints of a service in the order of their IDs. The slice is not to be changed.
func (d *Directory) Of(service string) []*Endpoint { return (*d.services.Load())[service] }

// Update replaces what is known. Endpoints that are known already keep their counts and their leaving mark.
func (d *Directory) Update(infos []Info) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := make(map[string]*Endpoint, len(infos))
	services := make(map[string][]*Endpoint)
	for _, info := range infos {
		e := d.rows[info.ID]
		if e == nil || e.Address != info.Address {
			e = New(info)
			if d.filled {
				e.BeginSlowStart(time.Now())
			}
		}
		if info.Leaving {
			e.MarkLeaving()
		}
		rows[info.ID] = e
		services[info.Service] = append(services[info.Service], e)
	}
	for _, list := range services {
		sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	}
	d.rows = rows
	d.filled = d.filled || len(rows) > 0
	d.services.Store(&services)
}

// MarkLeaving marks the endpoints with the IDs as leaving. Unknown IDs are passed over.
func (d *Directory) MarkLeaving(ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		if e := d.rows[id]; e != nil {
			e.MarkLeaving()
		}
	}
}

// LeavingIDs returns the IDs of the endpoints that are known to leave, in order.
func (d *Directory) LeavingIDs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, e := range d.rows {
		if e.Leaving() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// All returns every endpoint in the order of their IDs.
func (d *Directory) All() []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*Endpoint, 0, len(d.rows))
	for _, e := range d.rows {
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].ID < all[b].ID })
	return all
}
