package tgcommand

import (
	"io"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgdemo"
)

type demoFlags struct {
	entries  int
	listen   string
	requests int
	seed     uint64
}

func (c *config) newDemoCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade demo --requests 200 --seed 1",
		Long:    "Runs entries, companions and small stand-ins of the platform in one process on loopback.",
		RunE:    c.runDemo,
		Short:   "Run everything in one process on loopback",
		Use:     "demo",
	}
	flags := cmd.Flags()
	flags.IntVar(&c.demo.entries, "entries", 1, "further entries, on the next ports")
	flags.StringVar(&c.demo.listen, "listen", "127.0.0.1:0", "address of the first entry")
	flags.IntVar(&c.demo.requests, "requests", 0, "send this many requests and exit; 0 stays until interrupted")
	flags.Uint64Var(&c.demo.seed, "seed", 1, "seed of the requests")
	return cmd
}

func (c *config) runDemo(cmd *cobra.Command, _ []string) error {
	listen, err := netip.ParseAddrPort(c.demo.listen)
	if err != nil {
		return errors.Wrapf(err, "--listen %q", c.demo.listen)
	}
	logger := logrus.New()
	logger.SetOutput(c.stderr)
	logger.SetLevel(logrus.WarnLevel)
	ctx, cancel := contextWithCancel(cmd)
	defer cancel()
	d, err := tgdemo.Start(ctx, tgdemo.Options{
		ExtraEntries: c.demo.entries, Listen: listen, Logger: logger, Progress: c.progressWriter(), Requests: c.demo.requests,
		Seed: c.demo.seed,
	})
	if err != nil {
		return err
	}
	d.Describe(c.stdout)
	if c.demo.requests > 0 {
		err = d.Load(ctx, c.stdout)
	} else {
		<-ctx.Done()
	}
	cancel()
	d.Wait()
	return err
}

// progressWriter returns the writer for progress output: stderr if it is a terminal, otherwise nil.
func (c *config) progressWriter() io.Writer {
	f, ok := c.stderr.(*os.File)
	if !ok {
		return nil
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return f
}
