package tgflag

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"tanagergrade/io/tgexit"
)

// Format is the format of a query's output.
type Format string

// Values of the flag.
const (
	JSON Format = "json"
	Text Format = "text"
)

// Output is the flag for the output format of queries.
type Output struct{ Format Format }

// Register adds the flag to flags.
func (o *Output) Register(flags *pflag.FlagSet) {
	o.Format = Text
	flags.Var(o, "output", `"text" or "json"`)
}

// Set implements pflag.Value.
func (o *Output) Set(s string) error {
	if f := Format(s); f != JSON && f != Text {
		return tgexit.Usagef(`must be "text" or "json"`)
	}
	o.Format = Format(s)
	return nil
}

// String implements pflag.Value.
func (o *Output) String() string { return string(o.Format) }

// Type implements pflag.Value.
func (o *Output) Type() string { return "format" }

// Write writes value to w as indented JSON, or calls text with w if the format is Text.
func (o *Output) Write(w io.Writer, value any, text func(w io.Writer)) error {
	if o.Format == Text {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write output")
}
