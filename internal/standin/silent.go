package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// silentListener can make its open connections silent. A silent connection
// stays open, but received data is discarded and nothing is sent.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

type silentConn struct {
	net.Conn
	listener *silentListener
	silent   atomic.Bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newSilentListener(l net.Listener) *silentListener {
	return &silentListener{Listener: l, conns: map[*silentConn]struct{}{}}
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// silence makes all open connections except the given one silent and returns
// how many were not silent before.
func (l *silentListener) silence(except net.Conn) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if net.Conn(c) != except && !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

// contextWithConn stores the connection in the context; it is the server's
// ConnContext function.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection that contextWithConn stored, or nil.
func connFromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// Read discards the data of a silent connection and returns only when the
// client closes the connection or reading fails.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil && c.silent.Load() {
			c.release()
			return 0, err
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	// A silent connection stays open until Read sees that the client has closed
	// it: the client must not notice that the server has dropped the
	// connection.
	if c.silent.Load() {
		return nil
	}
	return c.release()
}

// release closes the connection and removes it from the listener's set.
func (c *silentConn) release() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
