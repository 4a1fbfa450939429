// Package peer implements the RPC interface between nodes: twirp with messages authenticated by a shared key.
//
// The key itself is never sent: each request and each response carries a message authentication code (MAC)
// over its body.
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

// MaxMessageBytes is the maximum size of a message between nodes. A whole manifest has to fit into one message.
const MaxMessageBytes = 8 << 20

// NewHandler returns a handler that serves p to nodes that know the key. Requests that are not authenticated,
// use a challenge that is no longer valid, are replayed, or are larger than MaxMessageBytes are rejected with
// status 401 and counted in set by reason.
func NewHandler(p Peer, key string, set *metrics.Set) http.Handler {
	server := NewPeerServer(p)
	v := newVerifier(key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageBytes))
		reason := refusedTooLarge
		if err == nil {
			reason = v.verify(r.Header.Get(authHeader), r.URL.Path, body)
		}
		if reason == "" {
			r.Body = io.NopCloser(bytes.NewReader(body))
			server.ServeHTTP(resp, r)
		} else {
			set.GetOrCreateCounter(fmt.Sprintf("cactuswall_peer_requests_refused_total{reason=%q}", reason)).Inc()
			http.Error(resp, reason, http.StatusUnauthorized)
		}
		resp.send(w, v, r)
	})
}

// bufferedResponse buffers a response, since its MAC is computed over the whole body and sent in a header.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

// send writes the response with a MAC that is bound to the nonce of the request r.
func (b *bufferedResponse) send(w http.ResponseWriter, v *verifier, r *http.Request) {
	for name, values := range b.header {
		w.Header()[name] = values
	}
	auth, _ := parseRequestAuth(r.Header.Get(authHeader))
	challenge := v.currentChallenge()
	mac := computeMAC(v.key, responseDirection, r.URL.Path, challenge, auth.nonce, b.body.Bytes())
	w.Header().Set(authHeader, challenge+"."+mac)
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// Clients creates clients for other nodes.
type Clients struct {
	http *http.Client
}

// NewClients returns a Clients whose clients share a key and a transport.
func NewClients(key string, transport http.RoundTripper) *Clients {
	return &Clients{http: &http.Client{Transport: &signingTransport{key: key, next: transport}}}
}

// At returns a client for the node at address, an IP address with a port.
func (c *Clients) At(address string) Peer { return NewPeerProtobufClient("http://"+address, c.http) }

// NewClient returns a client for the node at address, an IP address with a port.
func NewClient(address, key string, transport http.RoundTripper) Peer {
	return NewClients(key, transport).At(address)
}
