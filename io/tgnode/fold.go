package tgnode

import (
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglogclient"
)

// ApplyEntry applies one append of the configuration stream that the caller has read. It ignores an append that was
// applied before.
func (n *Node) ApplyEntry(e tglogclient.Entry) error {
	n.applyEntries(n.Applied(), []tgframe.LogEntry{{Offset: e.Offset, Records: e.Records}})
	return nil
}
