package tgcommand

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgkey"
)

type keyFlags struct {
	directory string
	lifetime  time.Duration
	name      string
	replace   bool
}

func (c *config) newKeyGenerateCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade key generate --directory keys --name operator",
		Long: "Writes NAME.pem and NAME-key.pem, signed by the authority in the directory (authority.pem and\n" +
			"authority-key.pem), which is made first if there is none. Daemons never need authority-key.pem.",
		RunE:  c.runKeyGenerate,
		Short: "Make a certificate and, if there is none, an authority",
		Use:   "generate",
	}
	const defaultLifetime = 365 * 24 * time.Hour
	flags := cmd.Flags()
	flags.StringVar(&c.key.directory, "directory", "", "directory of the files")
	flags.DurationVar(&c.key.lifetime, "lifetime", defaultLifetime, "time until the certificate expires")
	flags.StringVar(&c.key.name, "name", "process", "name of the certificate's files")
	flags.BoolVar(&c.key.replace, "replace", false, "replace an existing certificate and key; the authority stays")
	return cmd
}

func (c *config) runKeyGenerate(cmd *cobra.Command, _ []string) error {
	switch {
	case c.key.directory == "":
		return tgexit.Usagef("--directory is missing")
	case c.key.lifetime <= 0:
		return tgexit.Usagef("--lifetime must be more than 0, not %s", c.key.lifetime)
	}
	files, err := tgkey.Generate(c.key.directory, c.key.name, c.key.lifetime, c.key.replace)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "authority    %s\ncertificate  %s\nkey          %s\n",
		files.Authority, files.Certificate, files.Key)
	return nil
}
