package tgcommand

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
)

const dumpTimeout = 3 * time.Second

func (c *config) newPlatformDumpCmd() *cobra.Command {
	return &cobra.Command{
		Args:    cobra.MinimumNArgs(1),
		Example: "  tanagergrade platform dump 10.1.0.38:9464 10.1.0.40:9464",
		Long: "Prints the state of the daemons at these addresses as JSON, one object a daemon. Daemons on the platform\n" +
			"serve it on their metrics port and on their first internal port. It fails if one does not answer.",
		RunE:  c.runPlatformDump,
		Short: "Show the state of daemons on the users' platform",
		Use:   "dump ADDRESS...",
	}
}

func (c *config) runPlatformDump(_ *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return err
	}
	failed := 0
	for _, address := range addresses {
		body, err := fetchDump(address)
		if err != nil {
			failed++
			fmt.Fprintf(c.stderr, "tanagergrade: daemon at %s: %v\n", address, err)
			continue
		}
		fmt.Fprintf(c.stdout, "%s\n", body)
	}
	if failed > 0 {
		return errors.Newf("%d of %d daemons did not answer", failed, len(addresses))
	}
	return nil
}

// fetchDump returns the dump of the daemon at an address, as JSON.
func fetchDump(address netip.AddrPort) ([]byte, error) { return fetch(address, dumpPath) }
