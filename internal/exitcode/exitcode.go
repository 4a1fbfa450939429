// Package exitcode maps errors to the exit codes of the command-line programs, which scripts rely on, and
// formats the errors for users.
package exitcode

import (
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/strictjson"
)

// The exit codes of cactuswall and cactuswalld.
const (
	// OK means success.
	OK = 0
	// Failed means that the command line was valid but the command failed.
	Failed = 1
	// Invalid means that the command line, or a file that it names, is invalid.
	Invalid = 2
	// Rejected means that the publication of a manifest was rejected.
	Rejected = 3
	// Unreachable means that a node did not answer, that the outcome of a publication is unknown, or that
	// cactuswalld could not listen on an address.
	Unreachable = 4
	// NotFound means that the requested object does not exist.
	NotFound = 5
	// Unhealthy means that status --check found a problem, or that an accepted manifest is not yet active on
	// every node.
	Unhealthy = 6
)

// Help describes the exit codes in the help text of a command.
const Help = `Exit codes:
  0  success
  1  the command failed, or manifest check --against has findings
  2  the command line, or a file that it names, is invalid, or manifest check --against could not be made
  3  the publication of a manifest was rejected
  4  a node did not answer, or the outcome is unknown
  5  the requested object does not exist
  6  completed, but status --check found a problem, or an accepted manifest is not yet active on every node`

// usageError is an error in the command line or in a file that it names.
type usageError struct{ err error }

func (u usageError) Error() string { return u.err.Error() }
func (u usageError) Unwrap() error { return u.err }

// UsageError marks err as an error in the command line or in a file that it names, so that Of returns Invalid
// for it.
func UsageError(err error) error { return usageError{err: err} }

// unhealthyError is an error for which Of returns Unhealthy.
type unhealthyError struct{ message string }

func (u unhealthyError) Error() string { return u.message }

// Unhealthyf returns an error with a formatted message for which Of returns Unhealthy.
func Unhealthyf(format string, args ...any) error {
	return unhealthyError{message: fmt.Sprintf(format, args...)}
}

// Of returns the exit code for err, OK for nil. Cobra reports an unknown command as an error without a type of
// its own, so Of recognizes it by its text.
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
		return Rejected
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

// Message returns the text to print for err: one line for each problem of an invalid document, or else the
// error prefixed with the name of the program.
func Message(program string, err error) string {
	var problems strictjson.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return fmt.Sprintf("%s: %s", program, trace.UserMessage(err))
}
