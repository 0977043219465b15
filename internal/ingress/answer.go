package ingress

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"siskinvale.dev/siskinvale/internal/link"
)

const (
	// maxPrefetchBytes is the size of the largest answer that is read
	// completely before its first byte is sent, so that a truncated answer can
	// be retried.
	maxPrefetchBytes = 64 << 10
	// maxFrontEndPrefetchBytes replaces maxPrefetchBytes for requests decoded
	// by a FrontEnd. Their answers are never slow streams, even without a
	// stated length.
	maxFrontEndPrefetchBytes = 1 << 20
)

// writeAnswer streams a target's answer to the caller. It returns an error if
// the caller did not receive the complete answer.
func writeAnswer(w http.ResponseWriter, req *request, reply *link.Reply) error {
	h := w.Header()
	link.CopyEndToEnd(h, reply.Header)
	if reply.ContentLength >= 0 && reply.Header.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	w.WriteHeader(reply.Status)
	if req.method == http.MethodHead {
		return nil
	}
	return link.CopyBody(w, reply.Body)
}

// isBuffered reports whether the complete answer is in memory and can therefore
// still be returned after a further attempt.
func isBuffered(reply *link.Reply) bool {
	_, ok := reply.Body.(*bufferedBody)
	return ok
}

// closeHook calls hook once, after the first Close of the body.
type closeHook struct {
	io.ReadCloser
	once sync.Once
	hook func()
}

func (c *closeHook) Close() error {
	defer c.once.Do(c.hook)
	return c.ReadCloser.Close()
}
