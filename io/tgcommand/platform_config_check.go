package tgcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgquery"
	tgplatform "tanagergrade/platform"
)

// configCheck is the result of checking a configuration before it is sent.
type configCheck struct {
	Diff     *tgquery.LineDiff   `json:"diff,omitempty"` // from the version in force; nil if none was given
	Findings []tgcatalog.Finding `json:"findings"`
	Version  int64               `json:"version"`
}

func (c *config) newPlatformConfigCheckCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.RangeArgs(1, 2),
		Example: "  tanagergrade platform config check next.json\n" +
			"  tanagergrade platform config check next.json 10.1.0.38:9464",
		Long: "Checks a configuration before it is sent: errors, entries that can never match and limits that contradict each\n" +
			"other. With the address of an entry, it also shows what differs from the version in force there. The exit code is 1\n" +
			"if there are errors, and 0 if there are none or only warnings.",
		RunE:  c.runPlatformConfigCheck,
		Short: "Check a configuration of the users' platform before it is sent",
		Use:   "check FILE [ADDRESS]",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runPlatformConfigCheck(_ *cobra.Command, args []string) error {
	cfg, err := readConfigFile(args[0])
	if err != nil {
		return err
	}
	check := configCheck{Findings: cfg.Check(), Version: cfg.Version}
	addresses, err := tgflag.ParseAddresses(args[1:])
	if err != nil {
		return err
	}
	for _, address := range addresses {
		if err := check.compare(cfg, address); err != nil {
			return err
		}
	}
	if err := c.platform.output.Write(c.stdout, check, check.print); err != nil {
		return err
	}
	if n := check.errors(); n > 0 {
		return errors.Newf("%s: %d errors", args[0], n)
	}
	return nil
}

// readConfigFile reads a configuration as it is written to the store. Errors name the file and, where they can, the line.
func readConfigFile(path string) (*tgcatalog.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	cfg, err := tgplatform.DecodeConfig(data)
	if line, ok := errorLine(data, err); ok {
		return nil, errors.Wrapf(err, "%s:%d", path, line)
	}
	return cfg, errors.Wrap(err, path)
}

// errorLine returns the line of a fault that JSON decoding has met.
func errorLine(data []byte, err error) (line int, ok bool) {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &wrongType):
		offset = wrongType.Offset
	default:
		return 0, false
	}
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n")), true
}

// compare adds what differs from the configuration that an entry uses.
func (k *configCheck) compare(cfg *tgcatalog.Config, address netip.AddrPort) error {
	inForce, err := fetchConfig(address)
	if err != nil {
		return err
	}
	diff := tgquery.CompareLines(inForce.Lines, cfg.Lines())
	k.Diff = &diff
	if cfg.Version <= inForce.Version {
		text := fmt.Sprintf("%d is not higher than %d, which is in force", cfg.Version, inForce.Version)
		k.Findings = append([]tgcatalog.Finding{
			{Severity: tgcatalog.SeverityError, Subject: "version", Text: text},
		}, k.Findings...)
	}
	return nil
}

// errors returns the number of errors.
func (k *configCheck) errors() int {
	n := 0
	for _, f := range k.Findings {
		if f.Severity == tgcatalog.SeverityError {
			n++
		}
	}
	return n
}

func (k *configCheck) print(w io.Writer) {
	for _, f := range k.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Subject, f.Text)
	}
	if k.Diff == nil {
		return
	}
	var b strings.Builder
	k.Diff.Print(&b)
	if b.Len() > 0 {
		fmt.Fprintf(w, "changes to the version in force:\n%s", b.String())
	}
}
