package logsink

import (
	"bytes"
	"strings"
	"testing"
)

// chunkWriter keeps each write.
type chunkWriter struct{ writes [][]byte }

func (w *chunkWriter) Write(p []byte) (int, error) {
	w.writes = append(w.writes, append([]byte(nil), p...))
	return len(p), nil
}

// Guards against log lines that are lost: a reader that keeps only the beginning of a long write cut most lines of the
// owner.
func TestWritesHoldWholeLinesUpToTheLimit(t *testing.T) {
	out := &chunkWriter{}
	s := New(out)
	var all strings.Builder
	for i := range 200 {
		line := strings.Repeat("x", 30+i*2) + "\n"
		if i == 100 {
			line = strings.Repeat("y", 2*maxWriteBytes) + "\n"
		}
		all.WriteString(line)
		_, _ = s.Write([]byte(line)) // never fails
	}
	s.writeQueued()
	if written := string(bytes.Join(out.writes, nil)); written != all.String() {
		t.Errorf("%d bytes written, want the %d bytes of all lines in order", len(written), all.Len())
	}
	for i, write := range out.writes {
		if len(write) > maxWriteBytes && bytes.Count(write, []byte("\n")) != 1 || !bytes.HasSuffix(write, []byte("\n")) {
			t.Errorf("write %d has %d bytes and %d lines", i, len(write), bytes.Count(write, []byte("\n")))
		}
	}
	if most := 2 + 2*all.Len()/maxWriteBytes; len(out.writes) > most {
		t.Errorf("%d writes, want at most %d", len(out.writes), most)
	}
}
