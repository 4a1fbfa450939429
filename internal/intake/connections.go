package intake

import "time"

// ConnectionLimits are the limits of Connections.
type ConnectionLimits struct {
	// Max is the number of connections that may be open.
	Max int
	// Stall is how long a connection must have been without progress before it may be closed in favour of a new one.
	Stall time.Duration
}

// Connections decides which connections may stay open. It is not safe for concurrent use.
//
// Once Max connections are open, or one caller address has callerShare of them, a new one takes the place of the one that has
// gone longest without progress: connections without a request, with one whose headers or body do not arrive, or with a
// response that is not read. A connection whose request is being served is not closed.
type Connections struct {
	limits  ConnectionLimits
	open    int
	callers map[string]int
	// stalled holds the connections that wait for their caller, in the order of since.
	stalled list[Connection]
}

// Connection is an open connection. A new one waits for its caller.
type Connection struct {
	// Close is for the user of the package; it is called by nothing here.
	Close func()

	caller string
	closed bool
	since  time.Duration
	links  links[Connection]
}

// NewConnections returns Connections without any.
func NewConnections(l ConnectionLimits) *Connections {
	return &Connections{limits: l, callers: make(map[string]int), stalled: list[Connection]{links: func(c *Connection) *links[Connection] { return &c.links }}}
}

// Open returns the number of open connections.
func (t *Connections) Open() int { return t.open }

// Limit returns the number of connections that may be open.
func (t *Connections) Limit() int { return t.limits.Max }

// Arrive adds a connection. victim, which may be nil, must be closed; it does not count any more. The connection is nil if
// it is refused.
func (t *Connections) Arrive(now time.Duration, caller string) (c, victim *Connection) {
	overShare := t.callers[caller] >= max(1, callerShare(t.limits.Max))
	if overShare || t.open >= t.limits.Max {
		if victim = t.victim(now, caller, overShare); victim == nil {
			return nil, nil
		}
		t.Closed(victim)
	}
	c = &Connection{caller: caller}
	t.open++
	t.callers[caller]++
	t.AwaitCaller(c, now)
	return c, victim
}

// victim returns the connection that has waited longest for its caller, or nil. If own is set, it is one of the same caller.
func (t *Connections) victim(now time.Duration, caller string, own bool) *Connection {
	for c := t.stalled.first; c != nil && now-c.since >= t.limits.Stall; c = t.stalled.next(c) {
		if !own || c.caller == caller {
			return c
		}
	}
	return nil
}

// AwaitCaller notes that a connection waits for its caller from now on, or that the caller has made progress.
func (t *Connections) AwaitCaller(c *Connection, now time.Duration) {
	if c.closed {
		return
	}
	c.links.remove()
	c.since = now
	t.stalled.pushBack(c)
}

// Serve notes that the request on a connection is being served.
func (t *Connections) Serve(c *Connection) { c.links.remove() }

// Closed notes that a connection was closed. Further calls have no effect.
func (t *Connections) Closed(c *Connection) {
	if c.closed {
		return
	}
	c.closed = true
	c.links.remove()
	t.open--
	if t.callers[c.caller]--; t.callers[c.caller] == 0 {
		delete(t.callers, c.caller)
	}
}

// CloseStalled returns the connections that have waited for their caller for at least Stall. They must be closed and do not
// count any more.
func (t *Connections) CloseStalled(now time.Duration) (stalled []*Connection) {
	for c := t.stalled.first; c != nil && now-c.since >= t.limits.Stall; c = t.stalled.first {
		t.Closed(c)
		stalled = append(stalled, c)
	}
	return stalled
}
