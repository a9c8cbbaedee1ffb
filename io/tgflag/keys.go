package tgflag

import (
	"io"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgkey"
)

// Keys are the flags of commands that call the admin interface of daemons.
type Keys struct {
	Authority   string
	Certificate string
	Key         string
}

// Register adds the flags to flags.
func (k *Keys) Register(flags *pflag.FlagSet) {
	flags.StringVar(&k.Authority, "authority-file", "", "certificate of the authority (PEM)")
	flags.StringVar(&k.Certificate, "certificate-file", "", "certificate of the operator (PEM)")
	flags.StringVar(&k.Key, "key-file", "", "key of the operator (PEM)")
}

// Client returns a client that uses the files of the flags to call admin interfaces.
func (k *Keys) Client() (*tgadmin.Client, error) {
	if k.Authority == "" || k.Certificate == "" || k.Key == "" {
		return nil, tgexit.Usagef("--authority-file, --certificate-file and --key-file are needed to call a daemon")
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard) // only changes of the files are logged, and a command ends before there is one
	files := tgkey.Files{Authority: k.Authority, Certificate: k.Certificate, Key: k.Key}
	keys, err := tgkey.Open(files, logrus.NewEntry(logger))
	if err != nil {
		return nil, err
	}
	return tgadmin.NewClient(keys.Config()), nil
}
