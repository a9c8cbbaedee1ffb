package tgupstream

import (
	"net"

	"github.com/cockroachdb/errors"
)

// isDialError reports whether err came from making the connection, before any byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
