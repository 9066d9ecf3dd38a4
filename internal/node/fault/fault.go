// Package fault provides the generic error type of all packages: the operation
// that failed, a machine-readable kind, and the cause.
package fault

import (
	"errors"
	"fmt"
)

// Error is an error with an operation and a kind. Each package defines an alias
// with its own kind type, so that the compiler keeps their kinds apart.
type Error[K ~string] struct {
	// Operation is the operation that failed, for example "publish".
	Operation string
	// Kind classifies the error. Its values are stable, so callers may branch
	// on it.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// New returns an Error that wraps err.
func New[K ~string](operation string, kind K, err error) *Error[K] {
	return &Error[K]{Operation: operation, Kind: kind, Err: err}
}

// Newf returns an Error whose cause is built by fmt.Errorf, so %w wraps an
// error.
func Newf[K ~string](operation string, kind K, format string, args ...any) *Error[K] {
	return New(operation, kind, fmt.Errorf(format, args...))
}

// Error implements error.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Operation + ": " + string(e.Kind)
	}
	return e.Operation + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first *Error[K] in the chain of err, or the
// empty kind if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// KindOr is like KindOf, but returns fallback for an error without a kind. It
// returns the empty kind only if err is nil.
func KindOr[K ~string](err error, fallback K) K {
	if err == nil {
		return ""
	}
	if k := KindOf[K](err); k != "" {
		return k
	}
	return fallback
}
