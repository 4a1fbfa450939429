// Package endpoint holds the endpoints of all services as this node knows them.
package endpoint

import (
	"sort"
	"sync"
	"sync/atomic"
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
	outstanding atomic.Int64
	leaving     atomic.Bool
}

// Acquire counts one more request in flight.
func (e *Endpoint) Acquire() { e.outstanding.Add(1) }

// Release counts one request less in flight.
func (e *Endpoint) Release() { e.outstanding.Add(-1) }

// Outstanding returns the requests of this node in flight at the endpoint.
func (e *Endpoint) Outstanding() int64 { return e.outstanding.Load() }

// MarkLeaving records the first sign, from any source, that the endpoint is leaving. It is never undone.
func (e *Endpoint) MarkLeaving() { e.leaving.Store(true) }

// Leaving reports whether any source has said that the endpoint is leaving.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Directory holds the endpoints. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
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
			e = &Endpoint{Info: info}
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
