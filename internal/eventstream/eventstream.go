// Package eventstream splits a stream of server-sent events into whole events and extracts their IDs. The
// raw bytes of each event are kept, so that a proxy can forward them unchanged.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
)

const (
	// MaxEventBytes is the maximum size of one event.
	MaxEventBytes = 64 << 10
	// readBufferBytes is the size of a reader's buffer.
	readBufferBytes = 4 << 10
	// mediaType is the media type of an event stream.
	mediaType = "text/event-stream"
)

// ErrTooLong is returned for an event that is longer than MaxEventBytes.
var ErrTooLong = errors.New("event exceeds the maximum size")

// Is reports whether resp is a successful response with an event stream as its body.
func Is(resp *http.Response) bool {
	contentType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && contentType == mediaType && resp.StatusCode == http.StatusOK
}

// Event is one event.
type Event struct {
	// Raw holds the bytes of the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the event's ID. It is valid only if HasID is set.
	ID    string
	HasID bool
}

// Reader reads events from a stream.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, readBufferBytes)} }

// Next returns the next whole event. An event that is truncated by the end of the stream is discarded. The
// error is ErrTooLong for an event that is too long, or that of the underlying reader.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		chunk, err := r.lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, err
		}
		start := len(e.Raw)
		e.Raw = append(e.Raw, chunk...)
		for errors.Is(err, bufio.ErrBufferFull) && len(e.Raw) <= MaxEventBytes {
			chunk, err = r.lines.ReadSlice('\n')
			e.Raw = append(e.Raw, chunk...)
		}
		if len(e.Raw) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[start:], "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.parseLine(line)
	}
}

// parseLine sets the event's ID if line is an "id" field. An ID that contains a NUL byte is ignored, as the
// HTML standard requires.
func (e *Event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" || bytes.IndexByte(value, 0) >= 0 {
		return
	}
	e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
	e.HasID = true
}
