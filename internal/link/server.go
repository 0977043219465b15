package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskinvale.dev/siskinvale/internal/auth"
	"siskinvale.dev/siskinvale/internal/fleet"
)

// NewHandler returns a handler that serves forwarded calls from other nodes.
// onAuthFailure is called for each request without valid credentials.
func NewHandler(keys *auth.Keys, local Forwarder, onAuthFailure func(remote string, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Verify(r.Header, time.Now()); err != nil {
			onAuthFailure(r.RemoteAddr, err)
			http.Error(w, "not authenticated", http.StatusUnauthorized)
			return
		}
		call, err := readCall(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), call.Timeout)
		defer cancel()
		reply := local.Forward(ctx, call)
		defer reply.Body.Close()
		writeReply(w, reply)
	})
}

// NewWithdrawHandler returns a handler that serves withdrawals of forwarded
// calls from other nodes. onAuthFailure is called for each request without
// valid credentials.
func NewWithdrawHandler(keys *auth.Keys, withdraw func(attemptID string), onAuthFailure func(remote string, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Verify(r.Header, time.Now()); err != nil {
			onAuthFailure(r.RemoteAddr, err)
			http.Error(w, "not authenticated", http.StatusUnauthorized)
			return
		}
		withdraw(r.Header.Get(headerAttemptID))
		w.WriteHeader(http.StatusNoContent)
	})
}

func writeReply(w http.ResponseWriter, reply *Reply) {
	reply.writeHeader(w.Header())
	if reply.Outcome != fleet.Answered {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if reply.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	w.WriteHeader(reply.Status)
	if err := CopyBody(w, reply.Body); err != nil {
		// The panic resets the stream, so that the ingress recognises the
		// answer as truncated.
		panic(http.ErrAbortHandler)
	}
}

// copyBufferSize is the size in bytes of the buffer for one streamed answer.
const copyBufferSize = 32 << 10

// copyBufferPool reuses buffers, because a new buffer per answer made up most
// of the garbage that a small answer leaves.
var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// CopyBody streams src to w and flushes each chunk, so that the receiver gets
// the parts of a slow body as they arrive. It returns a *WriteError if w
// failed, and another error if src failed.
func CopyBody(w http.ResponseWriter, src io.Reader) error {
	flusher := http.NewResponseController(w)
	pooled := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(pooled)
	buf := pooled[:]
	for {
		n, readErr := src.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return &WriteError{err: err}
			}
			if readErr == nil {
				if err := flusher.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
					return &WriteError{err: err}
				}
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read answer: %w", readErr)
		}
	}
}

// WriteError reports that writing to the receiver of the answer failed, not
// reading from its source.
type WriteError struct{ err error }

func (e *WriteError) Error() string { return "write answer: " + e.err.Error() }
func (e *WriteError) Unwrap() error { return e.err }
