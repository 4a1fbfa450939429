package fake

import (
	"bytes"
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

// Log is a fake of the platform's log.
type Log struct {
	Faults

	mu      sync.Mutex
	streams map[string]*stream
	// changed is closed and replaced by every append.
	changed chan struct{}
	// lag is the time after its append at which an entry becomes visible to readers, as with reads from a lagging
	// replica.
	lag time.Duration
}

type stream struct {
	// oldest is the offset of entries[0].
	oldest  platform.Offset
	entries []entry
}

// entry holds the data and the time of one append.
type entry struct {
	data       []byte
	appendedAt time.Time
}

// NewLog returns an empty log. It keeps all entries until Trim removes them.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

var _ platform.Log = (*Log)(nil)

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if err := l.beforeEffect(ctx); err != nil {
		return 0, err
	}
	offset := l.append(name, data)
	return offset, l.afterEffect()
}

func (l *Log) append(name string, data []byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = append(s.entries, entry{data: bytes.Clone(data), appendedAt: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return s.oldest + platform.Offset(len(s.entries)) - 1
}

// SetLag sets the time after its append at which an entry becomes visible to readers.
func (l *Log) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// stream returns the stream with the given name and creates it if needed. The caller must hold l.mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1}
		l.streams[name] = s
	}
	return s
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	if err := l.beforeEffect(ctx); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, visible := l.readPage(name, from)
		if len(page.Entries) > 0 {
			return page, l.afterEffect()
		}
		select {
		case <-changed:
		case <-visible:
		case <-timer.C:
			return page, l.afterEffect()
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// maxPageEntries is the maximum number of entries in one page.
const maxPageEntries = 256

// readPage returns the visible entries from an offset on, a channel that is closed by the next append, and a
// channel that receives when the next entry becomes visible, or nil if the lag hides no entry of the page.
func (l *Log) readPage(name string, from platform.Offset) (platform.Page, <-chan struct{}, <-chan time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	from = max(from, s.oldest)
	end := s.oldest + platform.Offset(len(s.entries))
	page := platform.Page{Oldest: s.oldest, Next: from}
	for offset := from; offset < end && len(page.Entries) < maxPageEntries; offset++ {
		e := s.entries[offset-s.oldest]
		if untilVisible := time.Until(e.appendedAt.Add(l.lag)); untilVisible > 0 {
			return page, l.changed, time.After(untilVisible)
		}
		page.Entries = append(page.Entries, platform.Entry{Offset: offset, Data: e.data})
		page.Next = offset + 1
	}
	return page, l.changed, nil
}

// Trim removes the entries of a stream before an offset, as a retention policy does.
func (l *Log) Trim(name string, before platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.oldest + platform.Offset(len(s.entries))
	before = min(before, end)
	if before > s.oldest {
		s.entries = s.entries[before-s.oldest:]
		s.oldest = before
	}
}
