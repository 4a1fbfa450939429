// Package logsink writes log lines without ever blocking the logging goroutine: when the reader of the output is
// too slow, lines are dropped and counted.
package logsink

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLines is the capacity of the queue of unwritten lines, in lines. While the output blocks, a node that
	// logs at its peak rate, about 4000 lines per second, fills the queue in about one second.
	queueLines = 4096
	// Of the lines with the same level and message in one second, the first sampleFirst are written and after
	// these every sampleThereafter-th.
	sampleFirst      = 300
	sampleThereafter = 50
)

// Sink is a zapcore.WriteSyncer that queues lines; the goroutine in Run writes them to the output.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	omitted atomic.Int64
	out     io.Writer
}

// New returns a sink whose Run method writes to out.
func New(out io.Writer) *Sink { return &Sink{lines: make(chan []byte, queueLines), out: out} }

// Write implements io.Writer. It queues a copy of line, or drops the line if the queue is full. It never blocks
// and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were lost because the queue was full or a write failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Omitted returns how many lines were omitted because lines with the same level and message were too frequent.
func (s *Sink) Omitted() int64 { return s.omitted.Load() }

// Run writes queued lines until ctx is done, then writes the lines that are still in the queue, and returns
// ctx.Err(). Writes block while the output does.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			s.drain()
			return ctx.Err()
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		// The failure cannot be logged here, so it is only counted.
		s.dropped.Add(1)
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
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
	return zap.New(sampler)
}
