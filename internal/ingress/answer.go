package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"siskinvale.dev/siskinvale/internal/fleet"
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

// prefetch reads a small answer completely. A truncated answer becomes a reply
// with an unknown outcome, which is possible because nothing has been sent to
// the caller yet.
func (in *Ingress) prefetch(call *link.Call, reply *link.Reply) *link.Reply {
	limit, withoutLength := int64(maxPrefetchBytes), false
	if in.cfg.FrontEnd != nil {
		limit, withoutLength = maxFrontEndPrefetchBytes, true
	}
	if reply.Outcome != fleet.Answered || reply.ContentLength > limit || reply.ContentLength < 0 && !withoutLength {
		return reply
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, limit))
	if err != nil {
		reply.Body.Close()
		truncated := link.MayHaveRun(call, "the answer was cut short: "+err.Error())
		truncated.Load = reply.Load
		return truncated
	}
	if int64(len(body)) == limit && reply.ContentLength < 0 {
		reply.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), reply.Body), Closer: reply.Body}
		return reply
	}
	reply.Body.Close()
	reply.Body, reply.ContentLength = &bufferedBody{*bytes.NewReader(body)}, int64(len(body))
	return reply
}

// bufferedBody is a complete answer body in memory.
type bufferedBody struct{ bytes.Reader }

func (*bufferedBody) Close() error { return nil }

// prefixedBody is an answer body whose beginning has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
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
