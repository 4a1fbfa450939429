package httpjson

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// minCompressedBytes is the minimum size of a reply that is compressed. For smaller ones the gzip header
// outweighs the savings.
const minCompressedBytes = 512

// compressReplies wraps next. It compresses replies with gzip if the client accepts that, adds an ETag to
// successful replies to GET, and replies with status 304 and no body if the client already has that ETag.
func compressReplies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &bufferedReply{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(b, r)
		if r.Method == http.MethodGet && b.status == http.StatusOK {
			etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(b.body.Bytes()), 16))
			w.Header().Set("ETag", etag)
			if r.Header.Get("If-None-Match") == etag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		}
		b.send(w, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"))
	})
}

// bufferedReply buffers a whole reply.
type bufferedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedReply) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedReply) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedReply) Write(data []byte) (int, error) { return b.body.Write(data) }

func (b *bufferedReply) send(w http.ResponseWriter, acceptsGzip bool) {
	if !acceptsGzip || b.body.Len() < minCompressedBytes {
		w.WriteHeader(b.status)
		_, _ = w.Write(b.body.Bytes())
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(b.status)
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(b.body.Bytes())
	_ = compressed.Close()
}
