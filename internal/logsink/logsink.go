// Package logsink writes log lines without ever blocking the logging goroutine. Lines are collected and written many at
// a time; when the reader of the output is too slow, lines are dropped and counted.
package logsink

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines and queueBytes limit the lines that have not been written yet. While the output blocks, a node that
	// logs at its peak rate, about 4000 lines per second, reaches the limit in about one second.
	queueLines = 4096
	queueBytes = 2 << 20
	// writeInterval is the longest time that a line waits for further lines before it is written, and urgentInterval
	// that of a line of level warn or higher.
	writeInterval  = 100 * time.Millisecond
	urgentInterval = 5 * time.Millisecond
	// maxWriteBytes limits one write. It is PIPE_BUF, the size up to which a write to a pipe is not mixed with others.
	// Longer writes were seen to be cut by a reader of the log.
	maxWriteBytes = 4096
	// maxSpareBytes is the size of the largest buffer that is kept for reuse.
	maxSpareBytes = 128 << 10
	// Of the lines with the same level and message in one second, the first sampleFirst are written and after
	// these every sampleThereafter-th.
	sampleFirst      = 300
	sampleThereafter = 50
)

// Sink is a zapcore.WriteSyncer that queues lines; the goroutine in Run writes them to the output.
type Sink struct {
	dropped atomic.Int64
	omitted atomic.Int64
	out     io.Writer
	// due fires when the queued lines have to be written.
	due *time.Timer

	// mu protects the fields below. It is never held during a write to the output.
	mu sync.Mutex
	// queued holds the lines that Run has not taken yet; queuedLines is their number.
	queued      []byte
	queuedLines int
	// spare is an empty buffer that takes the place of queued.
	spare []byte
	// writingLines and writingBytes are the number and the size of the lines that Run is writing.
	writingLines, writingBytes int
	// urgent is set if due fires after urgentInterval.
	urgent bool
}

// New returns a sink whose Run method writes to out.
func New(out io.Writer) *Sink {
	due := time.NewTimer(writeInterval)
	due.Stop()
	return &Sink{out: out, due: due}
}

// Write implements io.Writer. It queues a copy of line, or drops the line if too many lines have not been written yet.
// It never waits for the output and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedLines+s.writingLines >= queueLines || len(s.queued)+s.writingBytes+len(line) > queueBytes {
		s.dropped.Add(1)
		return len(line), nil
	}
	if s.queuedLines == 0 {
		s.due.Reset(writeInterval)
	}
	s.queued = append(s.queued, line...)
	s.queuedLines++
	return len(line), nil
}

// writeSoon has the queued lines written after urgentInterval at the latest.
func (s *Sink) writeSoon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedLines > 0 && !s.urgent {
		s.urgent = true
		s.due.Reset(urgentInterval)
	}
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were lost because too many had not been written or a write failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Omitted returns how many lines were omitted because lines with the same level and message were too frequent.
func (s *Sink) Omitted() int64 { return s.omitted.Load() }

// Run writes queued lines until ctx is done, then writes the lines that are still in the queue, and returns
// ctx.Err(). Writes block while the output does.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case <-s.due.C:
			s.writeQueued()
		case <-ctx.Done():
			s.writeQueued()
			return ctx.Err()
		}
	}
}

// writeQueued writes the queued lines, as many whole lines with one call as fit into maxWriteBytes.
func (s *Sink) writeQueued() {
	lines := s.take()
	for rest := lines; len(rest) > 0; {
		chunk := firstLines(rest)
		rest = rest[len(chunk):]
		if written, err := s.out.Write(chunk); err != nil {
			// The failure cannot be logged here, so the lines that were not written in full are only counted.
			s.dropped.Add(int64(bytes.Count(chunk[written:], []byte("\n"))))
		}
	}
	s.release(lines)
}

// firstLines returns the first lines that together fit into maxWriteBytes, or the first line if it is longer.
func firstLines(lines []byte) []byte {
	if len(lines) <= maxWriteBytes {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return lines[:end+1]
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines
}

// take empties the queue and returns the lines that were in it.
func (s *Sink) take() (lines []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines = s.queued
	s.writingLines, s.writingBytes = s.queuedLines, len(lines)
	s.queued, s.queuedLines, s.spare, s.urgent = s.spare, 0, nil, false
	return lines
}

// release makes room for further lines after the lines that take returned have been written.
func (s *Sink) release(lines []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writingLines, s.writingBytes = 0, 0
	if cap(lines) <= maxSpareBytes {
		s.spare = lines[:0]
	}
}

// Logger returns a logger that writes JSON lines to the sink and samples lines with the same level and message.
func (s *Sink) Logger(level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	sampler := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				s.omitted.Add(1)
			}
		}))
	return zap.New(sampler, zap.Hooks(func(e zapcore.Entry) error {
		if e.Level >= zapcore.WarnLevel {
			s.writeSoon()
		}
		return nil
	}))
}
