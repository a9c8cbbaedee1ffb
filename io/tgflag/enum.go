package tgflag

import (
	"slices"
	"strings"

	"tanagergrade/io/tgexit"
)

// Enum is a flag with one of several values; it implements pflag.Value.
type Enum[T ~string] struct {
	Value  T
	values []T // those allowed
}

// NewEnum returns a flag with a default and the values allowed.
func NewEnum[T ~string](value T, values []T) *Enum[T] { return &Enum[T]{Value: value, values: values} }

// Set implements pflag.Value.
func (e *Enum[T]) Set(s string) error {
	if !slices.Contains(e.values, T(s)) {
		return tgexit.Usagef("must be one of %s", e.Values())
	}
	e.Value = T(s)
	return nil
}

// String implements pflag.Value.
func (e *Enum[T]) String() string { return string(e.Value) }

// Type implements pflag.Value.
func (e *Enum[T]) Type() string { return "name" }

// Values returns the values allowed, for a help text.
func (e *Enum[T]) Values() string {
	names := make([]string, 0, len(e.values))
	for _, v := range e.values {
		names = append(names, string(v))
	}
	return strings.Join(names, ", ")
}
