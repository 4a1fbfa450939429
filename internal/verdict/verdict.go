// Package verdict says, for every failed request, whether the request may have run.
//
// A verdict travels with the error through the program and out to the caller.
// Only a NotRun verdict permits a free retry.
package verdict

import (
	"context"
	"errors"
	"fmt"
)

// Verdict says whether a request had an effect at its destination.
type Verdict int

// The verdicts. The zero value is MayHaveRun, so that a forgotten verdict never permits a retry.
const (
	// MayHaveRun means the destination may or may not have run the request.
	MayHaveRun Verdict = iota
	// NotRun means the destination certainly did not run the request and never will.
	NotRun
	// Ran means the destination certainly ran the request.
	Ran
)

// String returns the form used in headers, JSON bodies and metric labels.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Unknown text reads as MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "ran":
		*v = Ran
	default:
		*v = MayHaveRun
	}
	return nil
}

// Reason names why a request was refused or failed. It is a metric label, so the set of values is small.
type Reason string

// Error is a failure with its verdict and reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Err is the cause, or nil.
	Err error
}

// New returns an Error that wraps cause, which may be nil.
func New(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Err: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries. A nil error means Ran; an error without a verdict means MayHaveRun.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason that err carries, or a general one when it carries none.
func ReasonOf(err error) Reason {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.Reason
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	default:
		return "unclassified"
	}
}

// From returns err as an Error. An error that carries none becomes MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonOf(err), err)
}
