package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"cactuswall.example/cactuswall/internal/platform"
)

// Log stands in for the platform's log.
type Log struct {
	Faults

	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	// lag is how long an entry stays invisible to readers, as on a replica of the log that lags.
	lag time.Duration
}

type stream struct {
	// oldest is the offset of entries[0].
	oldest  platform.Offset
	entries []entry
}

// entry is the data of one append and its time.
type entry struct {
	data []byte
	at   time.Time
}

// NewLog returns an empty log that keeps everything.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

var _ platform.Log = (*Log)(nil)

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if err := l.before(ctx); err != nil {
		return 0, err
	}
	offset := l.append(name, data)
	return offset, l.after()
}

func (l *Log) append(name string, data []byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = append(s.entries, entry{data: bytes.Clone(data), at: time.Now()})
	close(l.changed)
	l.changed = make(chan struct{})
	return s.oldest + platform.Offset(len(s.entries)) - 1
}

// SetLag makes readers see every entry only a lag after its append.
func (l *Log) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// stream returns the stream and makes it if needed. The caller holds the lock.
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
	if err := l.before(ctx); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, visible := l.page(name, from)
		if len(page.Entries) > 0 {
			return page, l.after()
		}
		select {
		case <-changed:
		case <-visible:
		case <-timer.C:
			return page, l.after()
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

// maxPageEntries bounds the entries of one page.
const maxPageEntries = 256

// page returns the visible entries from an offset on, a channel that is closed by the next append, and one
// that tells when a lagging entry becomes visible.
func (l *Log) page(name string, from platform.Offset) (platform.Page, <-chan struct{}, <-chan time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	from = max(from, s.oldest)
	end := s.oldest + platform.Offset(len(s.entries))
	page := platform.Page{Oldest: s.oldest, Next: from}
	for offset := from; offset < end && len(page.Entries) < maxPageEntries; offset++ {
		e := s.entries[offset-s.oldest]
		if hidden := time.Until(e.at.Add(l.lag)); hidden > 0 {
			return page, l.changed, time.After(hidden)
		}
		page.Entries = append(page.Entries, platform.Entry{Offset: offset, Data: e.data})
		page.Next = offset + 1
	}
	return page, l.changed, nil
}

// Trim drops the entries of a stream before an offset, as retention does.
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
