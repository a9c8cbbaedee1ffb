package tgnode

import (
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglogclient"
)

// Fold applies one append of the configuration stream, wherever it was read from.
func (n *Node) Fold(e tglogclient.Entry) error {
	n.applyEntries(n.Applied(), []tgframe.LogEntry{{Offset: e.Offset, Records: e.Records}})
	return nil
}
