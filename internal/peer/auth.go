// Package peer is the edge between nodes: twirp with a shared key.
//
// peer.pb.go and peer.twirp.go are generated from peer.proto by protoc with protoc-gen-go and
// protoc-gen-twirp.
package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// keyHeader carries the key that all nodes share.
const keyHeader = "Cactuswall-Peer-Key"

// maxMessageBytes bounds a message between nodes. A manifest travels in one message.
const maxMessageBytes = 8 << 20

// NewHandler serves p to nodes that know the key. Others are refused and counted.
func NewHandler(p Peer, key string, set *metrics.Set) http.Handler {
	server := NewPeerServer(p)
	refused := set.GetOrCreateCounter(`cactuswall_peer_requests_refused_total{reason="wrong_key"}`)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(key)) != 1 {
			refused.Inc()
			http.Error(w, "wrong peer key", http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		server.ServeHTTP(w, r)
	})
}

// NewClient returns a client for the node at address, an IP number with a port.
func NewClient(address, key string, transport http.RoundTripper) Peer {
	client := &http.Client{Transport: keyed{key: key, next: transport}}
	return NewPeerProtobufClient("http://"+address, client)
}

// keyed adds the key to each request.
type keyed struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (k keyed) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(keyHeader, k.key)
	return k.next.RoundTrip(req)
}
