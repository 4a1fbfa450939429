package httpintake

import (
	"errors"
	"io"
	"net/http"
)

// ErrResponseTooLarge is the error of reading a response above its limit.
var ErrResponseTooLarge = errors.New("the response exceeds its limit")

// LimitResponses returns a RoundTripper whose responses fail when more than maxBytes of their body are read.
func LimitResponses(next http.RoundTripper, maxBytes int64) http.RoundTripper {
	return responseLimiter{next: next, maxBytes: maxBytes}
}

type responseLimiter struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (l responseLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: l.maxBytes}
	return resp, nil
}

// limitedBody is a body that fails when more than left bytes are read.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1] // one byte more tells a body of the limit from a larger one
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, ErrResponseTooLarge
	}
	return n, err
}
