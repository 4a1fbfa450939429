package logsink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestWriteDoesNotBlockWhenOutputBlocks(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	s := New(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx) // ends with the context
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			_, _ = s.Write([]byte("line\n")) // never fails
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked although the output was blocked")
	}
	if s.Dropped() < queueLines {
		t.Errorf("Dropped() = %d, want at least queueLines", s.Dropped())
	}
	cancel()
	close(w.release)
	<-ended
}

func TestRepeatedLinesAreSampled(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := s.Logger(zap.InfoLevel)
	for range 2 * sampleFirst {
		log.Info("same")
	}
	log.Info("other")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Run(ctx) // writes the queued lines
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	if lines > sampleFirst+sampleFirst/sampleThereafter+2 || !bytes.Contains(out.Bytes(), []byte(`"other"`)) {
		t.Errorf("%d lines written; want the repeated lines sampled and the other line written", lines)
	}
	if s.Omitted() == 0 {
		t.Error("omitted lines are not counted")
	}
}
