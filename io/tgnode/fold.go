package tgnode

import "tanagergrade/io/tglogclient"

// Fold applies one append of the configuration stream, wherever it was read from.
func (n *Node) Fold(e tglogclient.Entry) error { return n.apply(e) }
