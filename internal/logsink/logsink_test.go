package logsink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stuckWriter never takes anything.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestStuckReaderNeverBlocksTheProcess(t *testing.T) {
	w := stuckWriter{release: make(chan struct{})}
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
		t.Fatal("a write blocked")
	}
	if s.Dropped() < queueLines {
		t.Errorf("%d lines counted as dropped", s.Dropped())
	}
	cancel()
	close(w.release)
	<-ended
}

func TestLinesOfOneKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := s.Logger(zap.InfoLevel)
	for range 2 * sampleFirst {
		log.Info("same")
	}
	log.Info("other")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.Run(ctx) // writes what waits
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	if lines > sampleFirst+sampleFirst/sampleThereafter+2 || !bytes.Contains(out.Bytes(), []byte(`"other"`)) {
		t.Errorf("%d lines", lines)
	}
	if s.Sampled() == 0 {
		t.Error("left out lines are not counted")
	}
}
