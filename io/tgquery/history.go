package tgquery

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgpublisher"
)

type historyEntry struct {
	Comment  string            `json:"comment,omitempty"`
	Entities []tgconfig.Entity `json:"entities"`
	ID       uuid.UUID         `json:"id"`
	Offset   uint64            `json:"offset"`
	Reason   string            `json:"reason,omitempty"`
	Time     time.Time         `json:"time"` // when the writer made the change, by the writer's clock
	Verdict  tgconfig.Verdict  `json:"verdict"`
	Writer   string            `json:"writer"`
}

func (c *config) newHistoryCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade config history --log-address 10.0.0.9:9000 --output json",
		Long: "Lists the changes in the log with their verdicts: accepted, conflict (an accepted change had touched\n" +
			"the same entities), invalid, stale (read too long before it was written), or ignored (a repeated ID).\n" +
			"It begins at the oldest snapshot that the log keeps.",
		RunE:  c.runHistory,
		Short: "List changes and their verdicts",
		Use:   "history",
	}
	c.log.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runHistory(cmd *cobra.Command, _ []string) error {
	entries := []historyEntry{}
	_, err := c.readState(cmd.Context(), func(offset uint64, r tgrecord.Record, d tgconfig.Decision) {
		entries = append(entries, newHistoryEntry(offset, r, d))
	})
	if err != nil {
		return err
	}
	return c.output.Write(c.stdout, entries, func(w io.Writer) { printHistory(w, entries) })
}

func newHistoryEntry(offset uint64, r tgrecord.Record, d tgconfig.Decision) historyEntry {
	seconds, nanoseconds := r.ID.Time().UnixTime()
	e := historyEntry{
		Entities: []tgconfig.Entity{}, ID: r.ID, Offset: offset, Reason: d.Reason,
		Time: time.Unix(seconds, nanoseconds).UTC(), Verdict: d.Verdict, Writer: r.Writer,
	}
	change, err := tgrecord.Decode[tgconfig.Change](r)
	if err != nil {
		return e // the decision's reason states that the record cannot be decoded
	}
	e.Comment = change.Comment
	for _, entity := range change.Entities {
		e.Entities = append(e.Entities, entity.Entity)
	}
	return e
}

func printHistory(w io.Writer, entries []historyEntry) {
	const maxNames = 3 // the publication of a whole file may change thousands of entities
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "OFFSET\tTIME\tVERDICT\tWRITER\tENTITIES\tCOMMENT\tID")
	for _, e := range entries {
		names := make([]string, min(len(e.Entities), maxNames))
		for i := range names {
			names[i] = tgpublisher.FormatEntity(e.Entities[i])
		}
		text := strings.Join(names, ", ")
		if more := len(e.Entities) - maxNames; more > 0 {
			text += fmt.Sprintf(" and %d more", more)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			e.Offset, e.Time.Format(time.RFC3339), e.Verdict, e.Writer, text, e.Comment, e.ID)
	}
	_ = t.Flush() // an error of the writer recurs at the next write
}
