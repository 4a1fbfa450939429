// Package peer is the edge between nodes: twirp with messages authenticated by a shared key.
//
// The key itself never travels: each request and each answer carries a code over its content.
//
// peer.pb.go and peer.twirp.go are generated from peer.proto by protoc with protoc-gen-go and
// protoc-gen-twirp.
package peer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// maxMessageBytes bounds a message between nodes. A manifest travels in one message.
const maxMessageBytes = 8 << 20

// NewHandler serves p to nodes that know the key. Others are refused and counted.
func NewHandler(p Peer, key string, set *metrics.Set) http.Handler {
	server := NewPeerServer(p)
	gate := newGate(key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &buffer{header: make(http.Header), status: http.StatusOK}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		reason := refusedSize
		if err == nil {
			reason = gate.check(r.Header.Get(authHeader), r.URL.Path, body)
		}
		if reason == "" {
			r.Body = io.NopCloser(bytes.NewReader(body))
			server.ServeHTTP(answer, r)
		} else {
			set.GetOrCreateCounter(fmt.Sprintf("cactuswall_peer_requests_refused_total{reason=%q}", reason)).Inc()
			http.Error(answer, reason, http.StatusUnauthorized)
		}
		answer.send(w, gate, r)
	})
}

// buffer keeps an answer until it is signed.
type buffer struct {
	header  http.Header
	status  int
	content bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *buffer) Write(data []byte) (int, error) { return b.content.Write(data) }

// send signs the answer for the nonce of the request and sends it.
func (b *buffer) send(w http.ResponseWriter, g *gate, r *http.Request) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	p, _ := parseProof(r.Header.Get(authHeader))
	challenge := g.challenge()
	code := sign(g.key, towardsClient, r.URL.Path, challenge, p.nonce, b.content.Bytes())
	w.Header().Set(authHeader, challenge+"."+code)
	w.WriteHeader(b.status)
	_, _ = w.Write(b.content.Bytes())
}

// Clients makes clients for other nodes.
type Clients struct {
	http *http.Client
}

// NewClients returns clients that share a key and a transport.
func NewClients(key string, transport http.RoundTripper) *Clients {
	return &Clients{http: &http.Client{Transport: &signer{key: key, next: transport}}}
}

// At returns the client for the node at address, an IP number with a port.
func (c *Clients) At(address string) Peer { return NewPeerProtobufClient("http://"+address, c.http) }

// NewClient returns a client for the node at address, an IP number with a port.
func NewClient(address, key string, transport http.RoundTripper) Peer {
	return NewClients(key, transport).At(address)
}
