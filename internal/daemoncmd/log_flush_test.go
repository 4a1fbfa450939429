package daemoncmd

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cactuswall.example/cactuswall/internal/logsink"
)

// stuckWriter blocks every write until release is closed.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestStopDoesNotWaitForStuckReaderOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuckWriter{release: make(chan struct{})}
		sink := logsink.New(out)
		stop := startSink(context.Background(), sink)
		_, _ = sink.Write([]byte("line\n")) // never fails
		start := time.Now()
		stop()
		if took := time.Since(start); took != logFlushTimeout {
			t.Errorf("stopping took %v with a stuck reader, want %v", took, logFlushTimeout)
		}
		close(out.release)
		synctest.Wait()
	})
}

func TestStopWritesTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := logsink.New(&out)
		ctx, cancel := context.WithCancel(context.Background())
		stop := startSink(ctx, sink)
		cancel()
		synctest.Wait()
		_, _ = sink.Write([]byte("stopped\n")) // never fails
		stop()
		if out.String() != "stopped\n" {
			t.Errorf("%q written, want the line logged after the node's context ended", out.String())
		}
	})
}
