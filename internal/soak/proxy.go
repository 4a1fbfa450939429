package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// linkState says what a proxy does with the bytes of its connections.
type linkState struct {
	// holdRequests and holdAnswers keep what is sent in one direction until the state changes.
	holdRequests, holdAnswers bool
	// delay is added to what is sent in each direction.
	delay time.Duration
}

// proxy forwards TCP connections to a target and disturbs them.
type proxy struct {
	listener net.Listener
	target   string
	localIP  net.IP // source of the connections to the target, or nil

	mu          sync.Mutex
	state       linkState
	changed     chan struct{}
	connections map[*proxyConnection]bool
}

// proxyConnection is a pair of connections. A silent one delivers nothing any more.
type proxyConnection struct {
	client, server net.Conn
	silent         bool
}

func newProxy(address, target string, localIP net.IP) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &proxy{listener: listener, target: target, localIP: localIP, changed: make(chan struct{}), connections: make(map[*proxyConnection]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	p.wait(func(s linkState) bool { return s.holdRequests }, nil)
	dialer := net.Dialer{Timeout: time.Second}
	if p.localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	server, err := dialer.Dial("tcp", p.target)
	if err != nil {
		return // the client sees that the connection is closed
	}
	c := &proxyConnection{client: client, server: server}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, server, client, func(s linkState) bool { return s.holdRequests }) })
	both.Go(func() { p.copy(c, client, server, func(s linkState) bool { return s.holdAnswers }) })
	both.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
	_ = server.Close()
}

// copy forwards bytes until the connection ends. The end of one direction is passed on.
func (p *proxy) copy(c *proxyConnection, to, from net.Conn, held func(linkState) bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if delay := p.wait(held, c); delay > 0 {
				time.Sleep(delay)
			}
			if p.isSilent(c) {
				continue
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.wait(held, c)
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// wait returns once the direction is not held any more, and the delay of the link.
func (p *proxy) wait(held func(linkState) bool, c *proxyConnection) time.Duration {
	for {
		p.mu.Lock()
		state, changed, silent := p.state, p.changed, c != nil && c.silent
		p.mu.Unlock()
		if !held(state) || silent {
			return state.delay
		}
		<-changed
	}
}

func (p *proxy) isSilent(c *proxyConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

// set changes the state of the link.
func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
}

// silence has all open connections deliver nothing any more. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.silent = true
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a closed connection needs no reset
			}
			_ = conn.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkState{})
	p.reset()
}
