// Package eventstream reads server-sent events one whole event at a time.
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
	// MaxEventBytes bounds one event.
	MaxEventBytes = 64 << 10
	// readBytes is the buffer of a reader.
	readBytes = 4 << 10
	// mediaType is the type of a stream of events.
	mediaType = "text/event-stream"
)

// ErrTooLong is the error for an event beyond MaxEventBytes.
var ErrTooLong = errors.New("the event is too long")

// Is reports whether an answer is a stream of events.
func Is(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == mediaType && resp.StatusCode == http.StatusOK
}

// Event is one event as it came, with its closing empty line.
type Event struct {
	Raw []byte
	// ID is the event's ID, if HasID is set.
	ID    string
	HasID bool
}

// Reader reads events.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{lines: bufio.NewReaderSize(r, readBytes)} }

// Next returns the next whole event. An event that is cut off by the end of the stream is dropped.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		part, err := r.lines.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, err
		}
		start := len(e.Raw)
		e.Raw = append(e.Raw, part...)
		for errors.Is(err, bufio.ErrBufferFull) && len(e.Raw) <= MaxEventBytes {
			part, err = r.lines.ReadSlice('\n')
			e.Raw = append(e.Raw, part...)
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
		e.takeLine(line)
	}
}

// takeLine notes the ID if the line gives one. An ID with a zero byte is ignored, as the standard says.
func (e *Event) takeLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "id" || bytes.IndexByte(value, 0) >= 0 {
		return
	}
	e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
	e.HasID = true
}
