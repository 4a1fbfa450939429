package httpjson

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// minCompressedBytes is the length of a reply from which compression is worth its header.
const minCompressedBytes = 512

// compact sends the replies of next compressed where the client accepts it, and none at all where the
// client already has the reply to a GET.
func compact(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &bufferedReply{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(b, r)
		if r.Method == http.MethodGet && b.status == http.StatusOK {
			tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(b.content.Bytes()), 16))
			w.Header().Set("ETag", tag)
			if r.Header.Get("If-None-Match") == tag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		}
		b.send(w, strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"))
	})
}

// bufferedReply keeps a reply until it is complete.
type bufferedReply struct {
	header  http.Header
	status  int
	content bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedReply) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedReply) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedReply) Write(data []byte) (int, error) { return b.content.Write(data) }

func (b *bufferedReply) send(w http.ResponseWriter, zip bool) {
	if !zip || b.content.Len() < minCompressedBytes {
		w.WriteHeader(b.status)
		_, _ = w.Write(b.content.Bytes())
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	w.WriteHeader(b.status)
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(b.content.Bytes())
	_ = compressed.Close()
}
