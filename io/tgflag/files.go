// Package tgflag implements the flags that several commands share.
package tgflag

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgexit"
)

// Files are the flags of commands that read configuration files.
type Files struct {
	Config   string
	Overlays []string
}

// Register adds the flags to flags.
func (f *Files) Register(flags *pflag.FlagSet) {
	flags.StringVar(&f.Config, "config", "", "base file (TOML)")
	flags.StringArrayVar(&f.Overlays, "overlay", nil, "overlay file of a site; can be repeated")
}

// Load reads and validates the files.
func (f *Files) Load() (*tgconfig.Document, error) {
	if f.Config == "" {
		return nil, tgexit.Usagef("--config is missing")
	}
	var files []tgconfig.File
	var err error
	for _, path := range append([]string{f.Config}, f.Overlays...) {
		data, readErr := os.ReadFile(path)
		err = errors.CombineErrors(err, errors.Wrap(readErr, "read configuration file"))
		files = append(files, tgconfig.File{Data: data, Name: path})
	}
	if err != nil {
		return nil, err
	}
	return tgconfig.Parse(files[0], files[1:]...)
}
