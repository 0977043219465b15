// Package conn provides a listener whose connections detect at once that the
// caller has closed them.
package conn

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxBuffered is the number of buffered bytes of one connection at which
	// reading ahead stops. While it is stopped, the close of the connection is
	// not detected; it resumes when the server has read some of the bytes.
	maxBuffered = 64 << 10
	// readSize is the size of one read in bytes.
	readSize = 4 << 10
)

// CloseDetectingListener accepts connections that detect at once that the other
// side has closed them.
//
// net/http detects the close of a connection by reading one byte ahead of the
// running request. When a caller pipelines requests, that byte is the start of
// the next request, and net/http stops watching: it goes on with the request of
// a caller that has disconnected. A connection from CloseDetectingListener
// therefore reads ahead on its own.
type CloseDetectingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l CloseDetectingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCloseDetectingConn(c), nil
}

// ConnContext serves as http.Server.ConnContext together with a
// CloseDetectingListener: it returns a context that is cancelled when the other
// side closes the connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	w, ok := c.(*closeDetectingConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	w.setOnEnd(cancel)
	return ctx
}

// closeDetectingConn is a connection that its own goroutine reads ahead into a
// buffer.
type closeDetectingConn struct {
	net.Conn
	mu            sync.Mutex
	changed       sync.Cond // buffer, err or deadline changed
	buffer        []byte
	err           error // from the last read of Conn, or net.ErrClosed
	deadline      time.Time
	deadlineTimer *time.Timer
	onEnd         func()
}

func newCloseDetectingConn(c net.Conn) *closeDetectingConn {
	w := &closeDetectingConn{Conn: c}
	w.changed.L = &w.mu
	go w.readLoop()
	return w
}

func (w *closeDetectingConn) setOnEnd(f func()) {
	w.mu.Lock()
	ended := w.err != nil
	w.onEnd = f
	w.mu.Unlock()
	if ended {
		f()
	}
}

// readLoop reads into the buffer until a read fails, then calls onEnd.
func (w *closeDetectingConn) readLoop() {
	chunk := make([]byte, readSize)
	for {
		n, err := w.Conn.Read(chunk)
		w.mu.Lock()
		w.buffer = append(w.buffer, chunk[:n]...)
		w.err = err
		onEnd := w.onEnd
		w.changed.Broadcast()
		for w.err == nil && len(w.buffer) >= maxBuffered {
			w.changed.Wait()
		}
		ended := w.err != nil
		w.mu.Unlock()
		if ended {
			if onEnd != nil {
				onEnd()
			}
			return
		}
	}
}

// Read implements net.Conn.
func (w *closeDetectingConn) Read(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.buffer) == 0 {
		if w.err != nil {
			return 0, w.err
		}
		if !w.deadline.IsZero() && !time.Now().Before(w.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		w.changed.Wait()
	}
	n := copy(p, w.buffer)
	w.buffer = w.buffer[n:]
	if len(w.buffer) == 0 {
		w.buffer = nil
	}
	w.changed.Broadcast()
	return n, nil
}

// SetReadDeadline implements net.Conn. The deadline applies to Read only, not
// to the reads of readLoop.
func (w *closeDetectingConn) SetReadDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	if w.deadlineTimer != nil {
		w.deadlineTimer.Stop()
		w.deadlineTimer = nil
	}
	if !t.IsZero() {
		w.deadlineTimer = time.AfterFunc(time.Until(t), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.changed.Broadcast()
		})
	}
	w.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (w *closeDetectingConn) SetDeadline(t time.Time) error {
	if err := w.SetReadDeadline(t); err != nil {
		return err
	}
	return w.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (w *closeDetectingConn) Close() error {
	w.mu.Lock()
	if w.deadlineTimer != nil {
		w.deadlineTimer.Stop()
		w.deadlineTimer = nil
	}
	w.buffer = nil
	if w.err == nil {
		w.err = net.ErrClosed
	}
	w.changed.Broadcast()
	w.mu.Unlock()
	return w.Conn.Close()
}
