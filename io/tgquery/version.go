package tgquery

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionOutput struct {
	Go      string `json:"go"`
	Version string `json:"version"`
}

func (c *config) newVersionCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade version --output json",
		Long:    "Shows the version of this program and of the Go release that built it.",
		RunE:    c.runVersion,
		Short:   "Show the version",
		Use:     "version",
	}
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runVersion(*cobra.Command, []string) error {
	out := versionOutput{Go: runtime.Version(), Version: Version()}
	return c.output.Write(c.stdout, out, func(w io.Writer) {
		fmt.Fprintf(w, "tanagergrade %s (%s)\n", out.Version, out.Go)
	})
}

// Version returns the module version that the program was built from, or "devel".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}
