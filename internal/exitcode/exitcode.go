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
)

// usageError is a fault of the command line.
type usageError struct{ err error }

func (u usageError) Error() string { return u.err.Error() }
func (u usageError) Unwrap() error { return u.err }

// Usage marks err as a fault of the command line.
func Usage(err error) error { return usageError{err: err} }

// Of returns the exit code for err.
func Of(err error) int {
	var usage usageError
	var problems strictjson.Problems
	switch {
	case err == nil:
		return OK
	case errors.As(err, &usage), errors.As(err, &problems), strings.HasPrefix(err.Error(), "unknown command"):
		return Invalid
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
