package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

const (
	// authHeader carries the proof that the sender knows the shared key, and the server's challenge.
	authHeader = "Cactuswall-Auth"
	// nonceBytes is the length of challenges and nonces.
	nonceBytes = 12
	// macBytes is the length of the truncated code.
	macBytes = 16
	// maxNonces is how many nonces are remembered until the challenge changes.
	maxNonces = 4096
)

// newNonce returns a random nonce.
func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// sign returns the code of a message that travels in a direction, bound to a challenge and a nonce.
func sign(key, direction, path, challenge, nonce string, body []byte) string {
	mac := hmac.New(sha256.New, []byte(key))
	for _, part := range []string{direction, path, challenge, nonce} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// The directions of signed messages, so that a request never passes for an answer.
const (
	towardsServer = "request"
	towardsClient = "answer"
)

// proof is the content of the header of a request: challenge, nonce and code.
type proof struct {
	challenge string
	nonce     string
	code      string
}

func (p proof) String() string { return p.challenge + "." + p.nonce + "." + p.code }

func parseProof(header string) (proof, bool) {
	parts := strings.Split(header, ".")
	if len(parts) != 3 {
		return proof{}, false
	}
	return proof{challenge: parts[0], nonce: parts[1], code: parts[2]}, true
}

// gate checks requests. A request is bound to a challenge of this process and to a nonce that counts
// once, so that a recorded request cannot be sent again. No clock is involved.
type gate struct {
	key string

	mu       sync.Mutex
	current  string
	previous string
	seen     map[string]bool
	seenLast map[string]bool
}

func newGate(key string) *gate {
	return &gate{key: key, current: newNonce(), previous: newNonce(), seen: make(map[string]bool)}
}

// The reasons for which a request is refused. They are metric labels.
const (
	refusedNoProof   = "no_proof"
	refusedChallenge = "old_challenge"
	refusedCode      = "wrong_key"
	refusedReplay    = "replayed"
	refusedSize      = "too_large"
)

// check returns the reason to refuse a request, or "".
func (g *gate) check(header, path string, body []byte) string {
	p, ok := parseProof(header)
	if !ok {
		return refusedNoProof
	}
	want := sign(g.key, towardsServer, path, p.challenge, p.nonce, body)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !hmac.Equal([]byte(want), []byte(p.code)):
		return refusedCode
	case p.challenge != g.current && p.challenge != g.previous:
		return refusedChallenge
	case g.seen[p.nonce] || g.seenLast[p.nonce]:
		return refusedReplay
	}
	g.seen[p.nonce] = true
	if len(g.seen) >= maxNonces {
		g.previous, g.current = g.current, newNonce()
		g.seenLast, g.seen = g.seen, make(map[string]bool)
	}
	return ""
}

func (g *gate) challenge() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

// signer adds proofs to requests and checks those of the answers.
type signer struct {
	key  string
	next http.RoundTripper
	// challenges gives the newest challenge of each server.
	challenges sync.Map
}

// RoundTrip implements http.RoundTripper. When the server's challenge is not yet known, or has changed,
// the request is sent a second time: a server that refuses a challenge has not run the request.
func (s *signer) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, trace.Wrap(err)
		}
		_ = req.Body.Close()
	}
	known, _ := s.challenges.Load(req.URL.Host)
	challenge, _ := known.(string)
	answer, challenge, err := s.send(req, body, challenge)
	if err == nil && answer.StatusCode == http.StatusUnauthorized && challenge != "" {
		_ = answer.Body.Close()
		answer, _, err = s.send(req, body, challenge)
	}
	return answer, err
}

// send sends the request under a challenge and returns the answer with the server's newest challenge.
func (s *signer) send(req *http.Request, body []byte, challenge string) (*http.Response, string, error) {
	p := proof{challenge: challenge, nonce: newNonce()}
	p.code = sign(s.key, towardsServer, req.URL.Path, p.challenge, p.nonce, body)
	signed := req.Clone(req.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(authHeader, p.String())
	answer, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, "", err
	}
	newest, code, _ := strings.Cut(answer.Header.Get(authHeader), ".")
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxMessageBytes))
	_ = answer.Body.Close()
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	want := sign(s.key, towardsClient, req.URL.Path, newest, p.nonce, content)
	if !hmac.Equal([]byte(want), []byte(code)) {
		return nil, "", trace.AccessDenied("the answer of %s does not prove the knowledge of the peer key", req.URL.Host)
	}
	s.challenges.Store(req.URL.Host, newest)
	answer.Body = io.NopCloser(bytes.NewReader(content))
	return answer, newest, nil
}
