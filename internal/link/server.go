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

// Handler serves forwarded calls from other nodes. refused is called for each
// request without valid credentials.
func Handler(keys *auth.Keys, local Forwarder, refused func(remote string, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := keys.Verify(r.Header, time.Now()); err != nil {
			refused(r.RemoteAddr, err)
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
		// Resets the stream, so that the ingress sees a truncated answer.
		panic(http.ErrAbortHandler)
	}
}

// copyBufferSize is the memory that one streamed answer holds at a hop.
const copyBufferSize = 32 << 10

// copyBuffers are reused: a buffer for each answer was most of the garbage of
// a small answer.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// CopyBody streams src to w and flushes each chunk, so that a slow body
// arrives as it is made. The error says which side failed.
func CopyBody(w http.ResponseWriter, src io.Reader) error {
	flusher := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(pooled)
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

// WriteError means that the receiver of the answer, not its source, failed.
type WriteError struct{ err error }

func (e *WriteError) Error() string { return "write answer: " + e.err.Error() }
func (e *WriteError) Unwrap() error { return e.err }
