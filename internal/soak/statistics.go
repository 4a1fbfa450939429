package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/histogram"

	"cactuswall.example/cactuswall/internal/boottime"
)

// statistics count what happened, in all and by second.
type statistics struct {
	mu       sync.Mutex
	beganAt  time.Duration
	counts   map[string]int
	bySecond map[string][]float64
	times    map[string]*histogram.Fast
}

func newStatistics() *statistics {
	return &statistics{beganAt: boottime.Now(), counts: make(map[string]int), bySecond: make(map[string][]float64), times: make(map[string]*histogram.Fast)}
}

// count counts an occurrence.
func (s *statistics) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	second := int((boottime.Now() - s.beganAt) / time.Second)
	for len(s.bySecond[name]) <= second {
		s.bySecond[name] = append(s.bySecond[name], 0)
	}
	s.bySecond[name][second]++
}

// most notes a number of which the highest counts.
func (s *statistics) most(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name] = max(s.counts[name], n)
}

// event counts what happened on workers.
func (s *statistics) event(kind string) {
	switch kind {
	case "start", "done", "failed", "stopped", "lapsed":
		s.count(kind)
	}
}

func (s *statistics) note(f Fault) { s.count("faults"); s.count("fault: " + f.Kind) }

// observe notes a duration.
func (s *statistics) observe(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times[name] == nil {
		s.times[name] = histogram.NewFast()
	}
	s.times[name].Update(d.Seconds())
}

// line returns the counts in one line.
func (s *statistics) line() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for name, n := range s.counts {
		if !strings.HasPrefix(name, "fault:") {
			parts = append(parts, fmt.Sprintf("%s %d", name, n))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// logFiles are the outputs of the processes of a run.
type logFiles struct {
	directory string
	keep      bool
	mu        sync.Mutex
	files     map[string]*os.File
}

// newLogFiles has the logs written below a directory, or nowhere if it is empty.
func newLogFiles(directory string, seed uint64) (*logFiles, error) {
	l := &logFiles{keep: directory != "", files: make(map[string]*os.File)}
	var err error
	if l.keep {
		l.directory = filepath.Join(directory, fmt.Sprint(seed))
		return l, trace.ConvertSystemError(os.MkdirAll(l.directory, 0o755))
	}
	l.directory, err = os.MkdirTemp("", "cactuswall-soak-")
	return l, trace.ConvertSystemError(err)
}

// file returns the log of a process, to which all processes of that name append.
func (l *logFiles) file(name string) io.Writer {
	if !l.keep {
		return io.Discard
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.files[name] == nil {
		f, err := os.Create(filepath.Join(l.directory, name+".log"))
		if err != nil {
			return io.Discard
		}
		l.files[name] = f
	}
	return l.files[name]
}

// close closes the files, and deletes the directory unless logs are kept.
func (l *logFiles) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.files {
		_ = f.Close()
	}
	if !l.keep {
		_ = os.RemoveAll(l.directory)
	}
}
