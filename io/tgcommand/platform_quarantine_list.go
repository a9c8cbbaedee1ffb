package tgcommand

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"tanagergrade/core/tgquarantine"
	"tanagergrade/io/tgflag"
)

func (c *config) newPlatformQuarantineListCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.ExactArgs(1),
		Example: "  tanagergrade platform quarantine list 10.200.1.7:8223",
		Long: "Prints the suspect and quarantined parts of prompts in the platform's store, one on a line: how many crashes each\n" +
			"was at, the last one, the end of its quarantine, and the parts that may be to blame in its place.",
		RunE:  c.runPlatformQuarantineList,
		Short: "List the suspect and quarantined parts of prompts",
		Use:   "list STORE",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runPlatformQuarantineList(cmd *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return err
	}
	store := newPlatformStore(addresses[0])
	parts, err := readQuarantine(cmd.Context(), store)
	if err != nil {
		return err
	}
	return c.platform.output.Write(c.stdout, parts, func(w io.Writer) {
		printQuarantine(w, parts)
		if era := store.Eras().Era(); era > 0 {
			fmt.Fprintf(w, "The store is in era %d.\n", era)
		}
	})
}

func printQuarantine(w io.Writer, parts []quarantinedPart) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "PART\tSTATE\tCRASHES\tLAST CRASH\tUNTIL\tOR ELSE")
	for i := range parts {
		p := &parts[i]
		var others []string
		for _, c := range p.Companions {
			if c != p.Part {
				others = append(others, c)
			}
		}
		state, until := tgquarantine.OutcomeSuspect, ""
		if len(p.Companions) > 0 {
			state, until = tgquarantine.OutcomeQuarantined, p.Until.Format(time.RFC3339)
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\t%s\t%s\n", p.Part, state, p.Strikes, p.LastCrash.Format(time.RFC3339), until,
			strings.Join(others, " "))
	}
	_ = tw.Flush() // the output shows a failed write
}
