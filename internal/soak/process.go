package soak

import (
	"bufio"
	"errors"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/boottime"
)

// maxLineBytes is the longest line of a process that is read.
const maxLineBytes = 1 << 20

// process is a process that the soak started. It is ended by its ID alone.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}

	mu        sync.Mutex
	startedAt time.Duration // CLOCK_BOOTTIME, as all times here
	// termAt is when the process was asked to stop, killedAt when it was killed; 0 if it was not.
	termAt, killedAt, endedAt time.Duration
	// suspendedUntil is until when the process was suspended, endlessTime while it is, or 0.
	suspendedUntil time.Duration
	// wrote is set once the process has written a line, answered once a caller had a response from it.
	wrote, answered bool
	err             error
}

// endlessTime is later than all times.
const endlessTime time.Duration = 1 << 62

// startProcess starts a program. onLine is called with each line of its output, and log gets a copy of them.
func startProcess(name string, arguments, environment []string, log io.Writer, onLine func([]byte)) (*process, error) {
	command := exec.Command(arguments[0], arguments[1:]...)
	command.Env = append(os.Environ(), environment...)
	output, input, err := os.Pipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	command.Stdout, command.Stderr = input, input
	if err := command.Start(); err != nil {
		return nil, trace.NewAggregate(err, output.Close(), input.Close())
	}
	p := &process{name: name, command: command, done: make(chan struct{}), startedAt: boottime.Now()}
	_ = input.Close() // the process has its own copy
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(output)
		lines.Buffer(make([]byte, 64<<10), maxLineBytes)
		for lines.Scan() {
			p.note(&p.wrote)
			_, _ = log.Write(append(lines.Bytes(), '\n')) // a log that can't be written does not change the result
			onLine(lines.Bytes())
		}
		err := command.Wait()
		_ = output.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err, p.endedAt = err, boottime.Now()
	}()
	return p, nil
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	if p.endedAt == 0 && p.killedAt == 0 {
		p.killedAt = boottime.Now()
	}
	p.mu.Unlock()
	_ = p.command.Process.Kill() // it may have ended
}

// terminate asks the process to stop.
func (p *process) terminate() {
	p.mu.Lock()
	if p.endedAt == 0 && p.termAt == 0 {
		p.termAt = boottime.Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// suspend stops the process for a while.
func (p *process) suspend(duration time.Duration) {
	p.setSuspended(endlessTime)
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
	p.setSuspended(boottime.Now())
}

// suspendedSince reports whether the process was suspended at some time since from.
func (p *process) suspendedSince(from time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspendedUntil >= from
}

func (p *process) setSuspended(until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspendedUntil = until
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // it may have ended
}

// runs reports whether the process has not ended.
func (p *process) runs() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// note sets wrote or answered.
func (p *process) note(seen *bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*seen = true
}

// endedByItself reports whether the process ended without having been asked to, or did not end in order when it was.
func (p *process) endedByItself() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endedAt > 0 && p.killedAt == 0 && (p.termAt == 0 || p.err != nil && !p.stoppedBeforeMain()), p.err
}

// stoppedBeforeMain reports whether SIGTERM ended the process before it could install its handler: it had neither written a line nor
// answered a caller. The caller holds mu.
func (p *process) stoppedBeforeMain() bool {
	var exit *exec.ExitError
	if !errors.As(p.err, &exit) || p.wrote || p.answered {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}
