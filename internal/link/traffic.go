package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the connections that a Pool has opened, in both
// directions and without the headers of TCP and IP. It is safe for concurrent
// use.
type Traffic struct{ sent, received atomic.Uint64 }

// Bytes returns the number of bytes sent and received.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// countedConn adds the bytes of a connection to a Traffic.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
