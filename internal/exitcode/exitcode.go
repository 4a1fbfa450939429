// Package exitcode turns errors into exit codes that scripts can rely on.
package exitcode

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/strictjson"
)

// The exit codes of both programs.
const (
	OK = 0
	// Failed: the command was understood but could not be carried out.
	Failed = 1
	// Invalid: the command line or a file that it names is not valid.
	Invalid = 2
	// NotAccepted: a publication was decided against.
	NotAccepted = 3
	// Unreachable: the node did not answer, or the outcome could not be learnt.
	Unreachable = 4
	// NotFound: what was asked for does not exist.
	NotFound = 5
	// Unhealthy: the command was carried out, and what it looked at is not as it should be.
	Unhealthy = 6
)

// Help lists the exit codes for the help of a command.
const Help = `Exit codes:
  0  done
  1  the command could not be carried out
  2  the command line or a file that it names is not valid
  3  a publication was not accepted
  4  a node did not answer, or the outcome could not be learnt
  5  what was asked for does not exist
  6  carried out, but: status --check found a fault, or an accepted manifest is not yet in force on every node`

// usageError is a fault of the command line.
type usageError struct{ err error }

func (u usageError) Error() string { return u.err.Error() }
func (u usageError) Unwrap() error { return u.err }

// Usage marks err as a fault of the command line.
func Usage(err error) error { return usageError{err: err} }

// unhealthyError says what is not as it should be.
type unhealthyError struct{ message string }

func (u unhealthyError) Error() string { return u.message }

// NotHealthy returns an error that exits with Unhealthy.
func NotHealthy(format string, args ...any) error {
	return unhealthyError{message: fmt.Sprintf(format, args...)}
}

// Of returns the exit code for err.
func Of(err error) int {
	var usage usageError
	var unhealthy unhealthyError
	var problems strictjson.Problems
	switch {
	case err == nil:
		return OK
	case errors.As(err, &usage), errors.As(err, &problems), strings.HasPrefix(err.Error(), "unknown command"):
		return Invalid
	case errors.As(err, &unhealthy):
		return Unhealthy
	case trace.IsCompareFailed(err):
		return NotAccepted
	case trace.IsConnectionProblem(err):
		return Unreachable
	case trace.IsNotFound(err):
		return NotFound
	case trace.IsBadParameter(err):
		return Invalid
	default:
		return Failed
	}
}

// Message returns what to print about err, one problem a line.
func Message(program string, err error) string {
	var problems strictjson.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return fmt.Sprintf("%s: %s", program, trace.UserMessage(err))
}
