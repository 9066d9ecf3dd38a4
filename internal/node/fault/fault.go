// Package fault holds the shape that every package's error type shares: the
// operation that failed, a machine-readable kind, and the cause.
package fault

import (
	"errors"
	"fmt"
)

// Error is an error with an operation and a kind. Packages alias it with their
// own kind type, so that kinds of different packages never mix.
type Error[K ~string] struct {
	// Operation names what was attempted, for example "publish".
	Operation string
	// Kind is stable and safe to branch on.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// New builds an Error.
func New[K ~string](operation string, kind K, err error) *Error[K] {
	return &Error[K]{Operation: operation, Kind: kind, Err: err}
}

// Newf builds an Error whose cause is a formatted message.
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

// KindOf returns the kind of the first error of type *Error[K] in the chain,
// or the empty kind when there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// KindOr is KindOf, but for errors without a kind it returns another one. Only
// nil has the empty kind.
func KindOr[K ~string](err error, otherwise K) K {
	if err == nil {
		return ""
	}
	if k := KindOf[K](err); k != "" {
		return k
	}
	return otherwise
}
