package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactuswall.example/cactuswall/platform"
	"cactuswall.example/cactuswall/platform/standin"
)

// startPlatformNode starts a node as on the platform, without a store, and returns what it writes. Its settings are read from a path.
func startPlatformNode(t *testing.T, path string) (command *exec.Cmd, output *bytes.Buffer) {
	output = new(bytes.Buffer)
	command = exec.Command(os.Args[0], "platform")
	command.Env = append(os.Environ(), processVariable+"=1", platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return command, output
}

// platformSettings are those of a node with an address of its own.
func platformSettings(number int) []byte {
	n := standin.Node{Name: "n", IP: fmt.Sprintf("127.80.0.%d", 1+number), FailureDomain: "d", FailureDomains: []string{"d"}, StoreAddress: "127.0.0.1:1", Capacity: 20}
	return []byte(n.Settings())
}

// Guards against a stop during the start that ends the process by the signal: one that comes while the settings are read is a planned one.
func TestStopWhileSettingsAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	command, output := startPlatformNode(t, path)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process reads
	if err != nil {
		t.Fatal(err)
	}
	_ = command.Process.Signal(syscall.SIGTERM) // it runs
	time.Sleep(100 * time.Millisecond)
	_, _ = settings.Write(platformSettings(0)) // fails if the process has ended, which the next check shows
	_ = settings.Close()
	if err := command.Wait(); err != nil {
		t.Errorf("%v: %s", err, output)
	}
}

// Guards against a stop at any time of the start that does not end the process in order. Only one that comes before main, when the process
// has written nothing, may end it by the signal.
func TestStopDuringStart(t *testing.T) {
	var planned atomic.Int64
	t.Run("offsets", func(t *testing.T) {
		for i, offset := range []time.Duration{0, 1, 2, 4, 8, 15, 30, 60, 120, 250, 500} {
			t.Run(fmt.Sprintf("%d ms", offset), func(t *testing.T) {
				t.Parallel()
				path := filepath.Join(t.TempDir(), "settings")
				if err := os.WriteFile(path, platformSettings(1+i), 0o600); err != nil {
					t.Fatal(err)
				}
				command, output := startPlatformNode(t, path)
				time.Sleep(offset * time.Millisecond)
				_ = command.Process.Signal(syscall.SIGTERM) // it runs
				err := command.Wait()
				var exit *exec.ExitError
				switch {
				case err == nil:
					planned.Add(1)
				case output.Len() > 0 || !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM:
					t.Errorf("%v: %s", err, output)
				default:
					t.Log("ended by the signal before main")
				}
			})
		}
	})
	if planned.Load() == 0 {
		t.Error("no stop was a planned one")
	}
}
