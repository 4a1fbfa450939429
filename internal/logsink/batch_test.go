package logsink

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// recordingWriter keeps what is written and counts the calls.
type recordingWriter struct {
	mu     sync.Mutex
	text   bytes.Buffer
	writes int
	// limit is the number of bytes after which a call fails; 0: calls don't fail.
	limit int
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes++
	if w.limit > 0 && len(p) > w.limit {
		return w.limit, errors.New("output is full")
	}
	return w.text.Write(p)
}

func (w *recordingWriter) state() (text string, writes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String(), w.writes
}

// startSink runs a sink. The returned function stops it and waits for its end.
func startSink(s *Sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx) // ends with the context
	}()
	return func() {
		cancel()
		<-ended
	}
}

func TestLinesAreWrittenTogetherWithinTheInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &recordingWriter{}
		s := New(out)
		defer startSink(s)()
		for round := 1; round <= 3; round++ {
			for range 100 {
				_, _ = s.Write([]byte("line\n")) // never fails
			}
			time.Sleep(writeInterval)
			synctest.Wait()
			text, writes := out.state()
			if lines := strings.Count(text, "\n"); lines != 100*round || writes != round {
				t.Fatalf("after round %d: %d lines in %d writes, want %d lines in %d writes", round, lines, writes, 100*round, round)
			}
		}
	})
}

func TestLinesKeepTheirOrder(t *testing.T) {
	out := &recordingWriter{}
	s := New(out)
	stop := startSink(s)
	var want strings.Builder
	for i := range 3000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, _ = s.Write([]byte(line)) // never fails
		if i%500 == 0 {
			s.writeSoon()
			time.Sleep(2 * urgentInterval)
		}
	}
	stop()
	text, writes := out.state()
	if text != want.String() || writes < 2 {
		t.Errorf("%d writes; want several, with all lines in their order", writes)
	}
}

func TestStopWritesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &recordingWriter{}
		s := New(out)
		stop := startSink(s)
		_, _ = s.Write([]byte("last\n")) // never fails
		start := time.Now()
		stop()
		if text, _ := out.state(); text != "last\n" || time.Since(start) != 0 {
			t.Errorf("%q written %v after the stop, want the last line at once", text, time.Since(start))
		}
	})
}

func TestWarningIsWrittenSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &recordingWriter{}
		s := New(out)
		defer startSink(s)()
		log := s.Logger(zap.InfoLevel)
		log.Info("before")
		for range 10 {
			log.Warn("important")
		}
		time.Sleep(urgentInterval)
		synctest.Wait()
		text, writes := out.state()
		if strings.Count(text, "important") != 10 || !strings.Contains(text, "before") || writes != 1 {
			t.Errorf("%d writes after the urgent interval: %q; want all lines in one", writes, text)
		}
		log.Info("after")
		time.Sleep(urgentInterval)
		synctest.Wait()
		if text, _ := out.state(); strings.Contains(text, "after") {
			t.Error("a line of level info was written without waiting for others")
		}
		time.Sleep(writeInterval)
		synctest.Wait()
		if text, _ := out.state(); !strings.Contains(text, "after") {
			t.Error("the line that followed a warning was not written")
		}
	})
}

func TestStuckReaderBoundsMemoryAndCountsDrops(t *testing.T) {
	for _, test := range []struct {
		name  string
		size  int
		limit int
	}{{"lines", 10, queueLines}, {"bytes", 64 << 10, queueBytes / (64 << 10)}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := blockedWriter{release: make(chan struct{})}
				s := New(out)
				stop := startSink(s)
				line := append(bytes.Repeat([]byte("x"), test.size-1), '\n')
				_, _ = s.Write(line) // never fails
				time.Sleep(writeInterval)
				synctest.Wait() // the first line is being written
				for range 2 * test.limit {
					_, _ = s.Write(line) // never fails
				}
				if want := int64(test.limit + 1); s.Dropped() != want {
					t.Errorf("Dropped() = %d, want %d", s.Dropped(), want)
				}
				close(out.release)
				time.Sleep(writeInterval)
				synctest.Wait()
				dropped := s.Dropped()
				_, _ = s.Write(line) // never fails
				if s.Dropped() != dropped {
					t.Error("a line was dropped although the output accepts lines again")
				}
				stop()
			})
		})
	}
}

func TestFailedWriteCountsLostLines(t *testing.T) {
	s := New(&recordingWriter{limit: len("1\n2\n3")})
	stop := startSink(s)
	for _, line := range []string{"1\n", "2\n", "3\n", "4\n", "5\n"} {
		_, _ = s.Write([]byte(line)) // never fails
	}
	stop()
	if s.Dropped() != 3 {
		t.Errorf("Dropped() = %d, want the 3 lines that were not written in full", s.Dropped())
	}
}

func TestWritersDoNotRace(t *testing.T) {
	out := &recordingWriter{}
	s := New(out)
	stop := startSink(s)
	log := s.Logger(zap.InfoLevel)
	var writers sync.WaitGroup
	for i := range 4 {
		writers.Go(func() {
			for j := range 200 {
				log.Warn(fmt.Sprintf("writer %d", i), zap.Int("line", j))
			}
		})
	}
	writers.Wait()
	stop()
	text, _ := out.state()
	if lines := strings.Count(text, "\n"); lines != 800 || s.Dropped() != 0 {
		t.Errorf("%d lines written, %d dropped; want 800 and 0", lines, s.Dropped())
	}
}
