package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection; see http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DetectResets returns a dial function whose TCP connections never report a
// reset as the end of the stream.
//
// The kernel reports a reset only once. If a write in progress gets the report,
// the next read returns io.EOF as if the other side had ended the stream in
// order, and an answer that ends with its connection looks complete.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(syscall.Conn)
		if !ok {
			return c, nil
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			c.Close()
			return nil, err
		}
		return &resetDetectingConn{Conn: c, raw: raw}, nil
	}
}

type resetDetectingConn struct {
	net.Conn
	raw syscall.RawConn
}

// Read implements net.Conn.
func (c *resetDetectingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.endedByPeer() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// tcpClosed is the kernel's TCP_CLOSE, the state after a reset. After the other
// side has ended its stream in order, the state is TCP_CLOSE_WAIT or, when this
// side has ended its own as well, a later one.
const tcpClosed = unix.BPF_TCP_CLOSE

// endedByPeer reports whether the other side has ended its stream in order.
func (c *resetDetectingConn) endedByPeer() bool {
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State != tcpClosed
	})
	return err == nil && ended
}
