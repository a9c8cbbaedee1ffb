package tgcommand

import (
	"context"

	"github.com/spf13/cobra"
)

func contextWithCancel(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithCancel(cmd.Context())
}
