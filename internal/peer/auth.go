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
	// authHeader is the header that authenticates a request or a response: the challenge, in a request the
	// nonce, and the MAC, separated by dots.
	authHeader = "Cactuswall-Auth"
	// nonceBytes is the length of challenges and nonces before encoding.
	nonceBytes = 12
	// macBytes is the length to which the HMAC-SHA256 is truncated, before encoding.
	macBytes = 16
	// maxNonces is the number of nonces after which the challenge is replaced.
	maxNonces = 4096
)

// newNonce returns a random nonce, encoded in base64.
func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}

// computeMAC returns the MAC of a message. It covers the direction, the path, the challenge, the nonce and the
// body.
func computeMAC(key, direction, path, challenge, nonce string, body []byte) string {
	mac := hmac.New(sha256.New, []byte(key))
	for _, part := range []string{direction, path, challenge, nonce} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// The directions of authenticated messages. They are part of the MAC, so that a request cannot be replayed as a
// response.
const (
	requestDirection  = "request"
	responseDirection = "answer"
)

// requestAuth is the value of authHeader in a request.
type requestAuth struct {
	challenge string
	nonce     string
	mac       string
}

func (a requestAuth) String() string { return a.challenge + "." + a.nonce + "." + a.mac }

func parseRequestAuth(header string) (requestAuth, bool) {
	parts := strings.Split(header, ".")
	if len(parts) != 3 {
		return requestAuth{}, false
	}
	return requestAuth{challenge: parts[0], nonce: parts[1], mac: parts[2]}, true
}

// verifier authenticates requests. Each request is bound to a challenge that this process issued and to a nonce
// that is accepted once, so that a recorded request cannot be replayed. No clock is involved.
type verifier struct {
	key string

	mu sync.Mutex
	// current and previous are the valid challenges.
	current  string
	previous string
	// nonces holds the nonces received since the last replacement of the challenge, and previousNonces those
	// received between the last two replacements.
	nonces         map[string]bool
	previousNonces map[string]bool
}

func newVerifier(key string) *verifier {
	return &verifier{key: key, current: newNonce(), previous: newNonce(), nonces: make(map[string]bool)}
}

// The reasons for rejecting a request. They are metric labels.
const (
	refusedNoAuth       = "no_proof"
	refusedOldChallenge = "old_challenge"
	refusedWrongMAC     = "wrong_key"
	refusedReplayed     = "replayed"
	refusedTooLarge     = "too_large"
)

// verify returns the reason to reject a request, or "" for a valid one. After maxNonces requests it
// replaces the challenge; the previous challenge stays valid, and its nonces are kept, until the next
// replacement.
func (v *verifier) verify(header, path string, body []byte) string {
	auth, ok := parseRequestAuth(header)
	if !ok {
		return refusedNoAuth
	}
	want := computeMAC(v.key, requestDirection, path, auth.challenge, auth.nonce, body)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !hmac.Equal([]byte(want), []byte(auth.mac)):
		return refusedWrongMAC
	case auth.challenge != v.current && auth.challenge != v.previous:
		return refusedOldChallenge
	case v.nonces[auth.nonce] || v.previousNonces[auth.nonce]:
		return refusedReplayed
	}
	v.nonces[auth.nonce] = true
	if len(v.nonces) >= maxNonces {
		v.previous, v.current = v.current, newNonce()
		v.previousNonces, v.nonces = v.nonces, make(map[string]bool)
	}
	return ""
}

func (v *verifier) currentChallenge() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// signingTransport adds authHeader to requests and verifies it in responses.
type signingTransport struct {
	key  string
	next http.RoundTripper
	// challenges maps the host of each server to its newest challenge.
	challenges sync.Map
}

// RoundTrip implements http.RoundTripper. If the server's challenge is not known yet or has changed, the
// request is sent a second time. This is safe since a server that rejects a challenge has not executed the
// request.
func (s *signingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
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
	resp, challenge, err := s.send(req, body, challenge)
	if err == nil && resp.StatusCode == http.StatusUnauthorized && challenge != "" {
		_ = resp.Body.Close()
		resp, _, err = s.send(req, body, challenge)
	}
	return resp, err
}

// send sends the request with a challenge and returns the response and the server's newest challenge.
func (s *signingTransport) send(req *http.Request, body []byte, challenge string) (*http.Response, string, error) {
	auth := requestAuth{challenge: challenge, nonce: newNonce()}
	auth.mac = computeMAC(s.key, requestDirection, req.URL.Path, auth.challenge, auth.nonce, body)
	signed := req.Clone(req.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(authHeader, auth.String())
	resp, err := s.next.RoundTrip(signed)
	if err != nil {
		return nil, "", err
	}
	newest, mac, _ := strings.Cut(resp.Header.Get(authHeader), ".")
	content, err := io.ReadAll(io.LimitReader(resp.Body, MaxMessageBytes))
	_ = resp.Body.Close()
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	want := computeMAC(s.key, responseDirection, req.URL.Path, newest, auth.nonce, content)
	if !hmac.Equal([]byte(want), []byte(mac)) {
		return nil, "", trace.AccessDenied("response of %s is not authenticated with the peer key", req.URL.Host)
	}
	s.challenges.Store(req.URL.Host, newest)
	resp.Body = io.NopCloser(bytes.NewReader(content))
	return resp, newest, nil
}
