package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"tanagergrade/io/tghttp"
)

// streamClients send requests for streams, each on a connection of its own, until the case ends.
type streamClients struct {
	answered atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
}

const clientPause = 50 * time.Millisecond

func (c *streamClients) run(d *deployment, name, addr string) {
	for i := 0; d.ctx.Err() == nil; i++ {
		status, err := exchange(addr, streamRequest(fmt.Sprintf("%s%04x", name, i)))
		switch {
		case err == nil && status == 200:
			c.answered.Add(1)
		case err == nil && status == 503:
			c.refused.Add(1)
		default:
			c.failed.Add(1)
		}
		d.sleep(clientPause)
	}
}

// exchange sends a request on a new connection and reads the whole answer.
func exchange(addr, request string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second) //nolint:noctx // has a timeout
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(routeTimeout * time.Millisecond)) // fails only with the connection
	if _, err := conn.Write([]byte(request)); err != nil {
		return 0, err
	}
	br := bufio.NewReader(conn)
	r, err := tghttp.ReadResponse(br, "POST")
	if err != nil {
		return 0, err
	}
	_, err = tghttp.NewBody(br, r.Framing, r.Length).ReadAll(maxBody)
	return r.Status, err
}
