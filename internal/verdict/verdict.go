// Package verdict classifies failed requests by whether the destination may have executed them.
//
// A verdict is attached to an error, is passed up with it and is returned to the caller.
// Only NotRun makes it safe to retry any request.
package verdict

import (
	"context"
	"errors"
	"fmt"
)

// Verdict says whether the destination executed a request.
type Verdict int

// The verdicts. The zero value is MayHaveRun, so that an error without a verdict never permits a retry.
const (
	// MayHaveRun means that it is unknown whether the destination executed the request.
	MayHaveRun Verdict = iota
	// NotRun means that the destination did not execute the request and never will.
	NotRun
	// Ran means that the destination executed the request.
	Ran
)

// String returns the text used in headers, JSON bodies and metric labels.
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

// UnmarshalText implements encoding.TextUnmarshaler. Unknown text is decoded as MayHaveRun.
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

// Reason is the reason why a request was rejected or failed. It is a metric label, so the set of values
// has to stay small.
type Reason string

// Error is an error with a verdict and a reason.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Err is the wrapped error, or nil.
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

// Of returns the verdict of err: Ran for nil, and MayHaveRun for an error without a verdict.
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

// ReasonOf returns the reason of err. An error without a reason is "timeout" or "cancelled" if its context
// ended, and "unclassified" otherwise.
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

// From returns the Error that err wraps. An err without one is wrapped in a new Error with MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, ReasonOf(err), err)
}
