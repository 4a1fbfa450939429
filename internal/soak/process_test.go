package soak

import (
	"io"
	"testing"
	"time"
)

// Guards against a planned stop that cuts a running process and is not reported, and against reports of one that reaches a process before
// its main function.
func TestEndedByItself(t *testing.T) {
	terminate := (*process).terminate
	for name, test := range map[string]struct {
		script   string
		end      func(*process)
		answered bool
		byItself bool
	}{
		"stopped before it wrote a line":               {"exec sleep 60", terminate, false, false},
		"stopped after it wrote a line":                {"echo line; exec sleep 60", terminate, false, true},
		"stopped after it answered a caller":           {"exec sleep 60", terminate, true, true},
		"stopped in order":                             {"trap 'exit 0' TERM; echo line; while :; do sleep 0.01; done", terminate, false, false},
		"stopped with an error before a line":          {"trap 'exit 1' TERM; while :; do sleep 0.01; done", func(p *process) { time.Sleep(500 * time.Millisecond); p.terminate() }, false, true},
		"ended by a signal that the soak did not send": {"kill -TERM $$", func(*process) {}, false, true},
		"ended without an error":                       {"exit 0", func(*process) {}, false, true},
		"killed":                                       {"echo line; exec sleep 60", (*process).kill, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			lines := make(chan struct{}, 1)
			p, err := startProcess(name, []string{"sh", "-c", test.script}, nil, io.Discard, func([]byte) { lines <- struct{}{} })
			if err != nil {
				t.Fatal(err)
			}
			if test.script[:4] == "echo" || test.script[:4] == "trap" && !test.byItself {
				<-lines
			}
			if test.answered {
				p.note(&p.answered)
			}
			test.end(p)
			<-p.done
			if byItself, err := p.endedByItself(); byItself != test.byItself {
				t.Errorf("got %v (%v)", byItself, err)
			}
		})
	}
}
